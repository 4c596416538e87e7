//! Images in a machine's disk cache.

/// A cached image.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CachedImage {
    /// Number of the image (see `ImageNames`).
    pub image: u32,
    /// Size in GB.
    pub size_gb: f64,
}

/// Images on a machine's disk, least recently used first.
#[derive(Debug, Clone, Default)]
pub struct ImageCache(Vec<CachedImage>);

impl ImageCache {
    /// Whether the image is cached.
    pub fn contains(&self, image: u32) -> bool {
        self.0.iter().any(|cached| cached.image == image)
    }

    /// Marks an image as most recently used, and evicts the least recently used images beyond `disk_gb`. The image
    /// itself is never evicted.
    pub fn touch(&mut self, image: u32, size_gb: f64, disk_gb: f64) {
        self.0.retain(|cached| cached.image != image);
        self.0.push(CachedImage { image, size_gb });
        while self.0.len() > 1 && self.size_gb() > disk_gb {
            self.0.remove(0);
        }
    }

    /// Adds an image that is assumed to be cached, unless it is present already. Evicts nothing.
    pub fn add_if_absent(&mut self, image: u32, size_gb: f64) {
        if !self.contains(image) {
            self.0.push(CachedImage { image, size_gb });
        }
    }

    /// The cached images, least recently used first.
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
