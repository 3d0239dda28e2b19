package jobstate

import "time"

// maxImages bounds the images that are remembered of a worker.
const maxImages = 256

// CachedImage is an image that a worker has.
type CachedImage struct {
	SizeGB float64
	UsedAt time.Time
}

// FetchTime returns the seconds for which a task of the job would wait for its image on the
// worker: 0 if the worker has the image, 1 GB per second if its type is not known.
func (s *State) FetchTime(job *Job, worker *Worker) float64 {
	if job.Spec.Image == "" || worker.Images[s.Images.Of(job.Spec.Image)] != nil {
		return 0
	}
	if machine := s.TypeOf(worker); machine.FetchGBPerS > 0 {
		return job.Spec.ImageGB / machine.FetchGBPerS
	}
	return job.Spec.ImageGB
}

// CacheImage notes that a worker has a job's image, and forgets the least recently used ones
// that the worker's cache has no room for.
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

// cachedImages returns the least recently used image and the size of all.
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
