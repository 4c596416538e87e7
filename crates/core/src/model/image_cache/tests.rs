use super::*;

fn images(cache: &ImageCache) -> Vec<u32> {
    cache.iter().map(|cached| cached.image).collect()
}

#[test]
fn the_least_recently_used_image_is_evicted_first() {
    let mut cache = ImageCache::default();
    cache.touch(1, 4.0, 10.0);
    cache.touch(2, 4.0, 10.0);
    cache.touch(1, 4.0, 10.0);
    assert_eq!(images(&cache), [2, 1]);
    cache.touch(3, 4.0, 10.0);
    assert_eq!(images(&cache), [1, 3]);
    assert!(cache.contains(1) && !cache.contains(2));
}

#[test]
fn an_image_in_use_stays_even_if_larger_than_the_disk() {
    let mut cache = ImageCache::default();
    cache.touch(1, 4.0, 10.0);
    cache.touch(2, 40.0, 10.0);
    assert_eq!(images(&cache), [2]);
}

#[test]
fn adding_a_cached_image_again_changes_nothing() {
    let mut cache: ImageCache = [CachedImage { image: 1, size_gb: 4.0 }].into_iter().collect();
    cache.add_if_absent(1, 4.0);
    cache.add_if_absent(2, 4.0);
    assert_eq!(images(&cache), [1, 2]);
}
