use super::*;
use crate::leader::scheduler::fixture::Fixture;

#[test]
fn an_offer_is_avoided_for_longer_after_each_refusal_up_to_a_limit() {
    let settings = Fixture::new().settings;
    let offer = Offer { machine_type: "std".into(), zone: "a".into(), spot: true };
    let mut unavailable = UnavailableOffers::default();
    let interval_ms = settings.heartbeat_interval_ms();
    let mut now = 0;
    for intervals in [2, 4, 8, 8] {
        unavailable.record_refused(offer.clone(), now, &settings);
        now += interval_ms * intervals;
        assert!(unavailable.contains(&offer, now - 1), "{intervals}");
        assert!(!unavailable.contains(&offer, now), "{intervals}");
    }
    unavailable.record_granted(&offer);
    unavailable.record_refused(offer.clone(), now, &settings);
    assert!(!unavailable.contains(&offer, now + interval_ms * 2));
    unavailable.record_partly_granted(offer.clone(), now, &settings);
    assert!(unavailable.contains(&offer, now + interval_ms * 3 - 1));
    assert!(!unavailable.contains(&offer, now + interval_ms * 3));
    let other = Offer { spot: false, ..offer };
    assert!(!unavailable.contains(&other, now));
}
