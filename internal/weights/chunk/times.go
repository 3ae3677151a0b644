package chunk

import (
	"cmp"
	"time"
)

// Limits of measuring the rate at which the origin sends.
const (
	maxNewGap  = 400 * time.Millisecond // between two chunks that follow each other
	minNewTime = 400 * time.Millisecond // measured before the rate counts as known
)

// recordNew records that a chunk that nobody held has been found to be held.
func (o *originView) recordNew(at time.Time, bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if gap := at.Sub(o.lastNew); gap <= maxNewGap {
		o.newTime += max(0, gap)
		o.newBytes += int64(bytes)
	}
	o.lastNew = at
}

// copyTime returns how long the origin takes to send a number of bytes, or 0 if that isn't
// known yet.
func (o *originView) copyTime(bytes int64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.newTime < minNewTime {
		return 0
	}
	return time.Duration(float64(o.newTime) * float64(bytes) / float64(o.newBytes))
}

// recordKnown records that a chunk that nobody held is held now.
func (s *Swarm) recordKnown(now time.Time, index int) {
	s.lastKnown = now
	s.origin.recordNew(now, s.manifest.ChunkSize(index))
}

// spreadChunks is the number of chunks that an agent's link carries while the last one from
// the origin reaches all agents.
const spreadChunks = 18

// Times returns how long the origin takes to send the version, as far as that has been
// measured, how long the agent's link takes, and how long the last chunk takes to reach all
// agents. A time that isn't known is 0.
func (s *Swarm) Times() (origin, link, spread time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate := s.profile.UploadRate / uploadShare; rate > 0 {
		seconds := func(bytes int64) time.Duration { return time.Duration(float64(bytes) / rate * float64(time.Second)) }
		link, spread = seconds(s.manifest.Size()), seconds(spreadChunks*int64(s.manifest.ChunkSize(0)))
	}
	return cmp.Or(s.origin.copyTime(s.manifest.Size()), link), link, spread
}
