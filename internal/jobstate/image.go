package jobstate

import "time"

// maxImages is the maximum number of images remembered per worker.
const maxImages = 256

// CachedImage is an image in a worker's cache.
type CachedImage struct {
	SizeGB float64
	UsedAt time.Time
}

// FetchTime returns the time in seconds for the worker to fetch the job's image: 0 if the image
// is cached; computed with 1 GB per second if the machine type's rate is not known.
func (s *State) FetchTime(job *Job, worker *Worker) float64 {
	if job.Spec.Image == "" || worker.Images[s.Images.Of(job.Spec.Image)] != nil {
		return 0
	}
	if machine := s.TypeOf(worker); machine.FetchGBPerS > 0 {
		return job.Spec.ImageGB / machine.FetchGBPerS
	}
	return job.Spec.ImageGB
}

// CacheImage records that a worker has cached a job's image. If the image is new, it then removes
// the least recently used images until the rest fit into the machine type's CacheGB and are fewer
// than maxImages. One image always remains, and all do if the machine type is unknown.
func (s *State) CacheImage(job *Job, worker *Worker) {
	image := s.Images.Of(job.Spec.Image)
	if cached := worker.Images[image]; cached != nil {
		cached.UsedAt = time.Now()
		return
	}
	worker.Images[image] = &CachedImage{SizeGB: job.Spec.ImageGB, UsedAt: time.Now()}
	machine, known := s.MachineTypes.Type(worker.View.Type)
	for known && len(worker.Images) > 1 {
		oldest, sumGB := worker.cachedImages()
		if sumGB <= machine.CacheGB && len(worker.Images) < maxImages {
			return
		}
		delete(worker.Images, oldest)
	}
}

// cachedImages returns the least recently used image and the total size of all images.
func (w *Worker) cachedImages() (oldest int, sumGB float64) {
	oldestUse := time.Now().Add(time.Hour)
	for image, cached := range w.Images {
		sumGB += cached.SizeGB
		if cached.UsedAt.Before(oldestUse) {
			oldest, oldestUse = image, cached.UsedAt
		}
	}
	return oldest, sumGB
}
