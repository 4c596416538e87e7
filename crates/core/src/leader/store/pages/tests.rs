use super::*;
use serde_json::Value;

/// Production and this version lead over each other's records: what it wrote is read, and written
/// back the same; what is written now holds nothing that production cannot read or ignore.
#[test]
fn records_of_production_are_written_back_the_same() {
    fn same<T: Serialize + serde::de::DeserializeOwned>(v: &Value) -> T {
        let rec: T = serde_json::from_value(v.clone()).unwrap();
        assert_eq!(json!(rec), *v);
        rec
    }
    let mut seen = BTreeSet::new();
    for line in include_str!("../../../../testdata/production.store").lines() {
        let (key, text) = line.split_once(' ').unwrap();
        let v: Value = serde_json::from_str(text).unwrap();
        let prefix = &key[..2];
        seen.insert(prefix.to_string());
        match prefix {
            keys::JOBS => {
                let rec: JobRecord = same(&v);
                assert!(rec.s.dependencies.is_empty());
                let cancelled = json!(rec.into_cancelled());
                // The fields that production asks for are there.
                let kept = ["pieces", "crew", "jobline", "shape", "urgency", "cores", "bundle", "expectS"];
                assert!(kept.iter().all(|f| !cancelled["s"][*f].is_null()) && cancelled["x"] == true);
            }
            keys::TASK_PAGES => drop(same::<PageRecord>(&v)),
            keys::MACHINE_BLOCKS => drop(same::<BlockRecord>(&v)),
            keys::SCALE_OUTS => drop(same::<shaleshunt_wire::cloud::ScaleOutRequest>(&v)),
            keys::FINAL_RECORDS => {
                let rec: FinalRecord = serde_json::from_value(v.clone()).unwrap();
                let now = json!(FinalRecord { t: 5, ..rec });
                assert_eq!((&now["x"], &now["n"]), (&v["x"], &v["n"]));
            }
            _ if key == keys::CATALOG => drop(same::<shaleshunt_wire::cloud::Catalog>(&v)),
            _ => {}
        }
    }
    assert_eq!(seen.into_iter().collect::<String>(), "b/c/f/h/j/l/p/");
}
