//! Images on a machine's disk.

/// An image on a machine's disk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CachedImage {
    /// Its number.
    pub image: u32,
    /// Its size.
    pub size_gb: f64,
}

/// Images on a machine's disk, the most recently used last.
#[derive(Debug, Clone, Default)]
pub struct ImageCache(Vec<CachedImage>);

impl ImageCache {
    /// Whether an image is held.
    pub fn contains(&self, image: u32) -> bool {
        self.0.iter().any(|cached| cached.image == image)
    }

    /// Notes that an image was used, forgetting the least recently used beyond `disk_gb`.
    pub fn touch(&mut self, image: u32, size_gb: f64, disk_gb: f64) {
        self.0.retain(|cached| cached.image != image);
        self.0.push(CachedImage { image, size_gb });
        while self.0.len() > 1 && self.size_gb() > disk_gb {
            self.0.remove(0);
        }
    }

    /// Notes an image that is held for all that is known, unless it was known to be.
    pub fn add_if_absent(&mut self, image: u32, size_gb: f64) {
        if !self.contains(image) {
            self.0.push(CachedImage { image, size_gb });
        }
    }

    /// The images, the least recently used first.
    pub fn iter(&self) -> impl Iterator<Item = &CachedImage> {
        self.0.iter()
    }

    fn size_gb(&self) -> f64 {
        self.0.iter().map(|cached| cached.size_gb).sum()
    }
}

impl FromIterator<CachedImage> for ImageCache {
    fn from_iter<I: IntoIterator<Item = CachedImage>>(images: I) -> ImageCache {
        ImageCache(images.into_iter().collect())
    }
}

#[cfg(test)]
mod tests;
