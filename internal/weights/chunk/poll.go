package chunk

import "time"

// RecordPoll records the bitmap that a peer returned to a poll, and the poll's
// round-trip time.
func (s *Swarm) RecordPoll(now time.Time, incarnation string, bitmap Bitmap, roundTrip time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(incarnation)
	if p != nil && len(bitmap) == 0 {
		p.lastResponse, p.unansweredSince, p.refused = now, time.Time{}, 0 // it is there, without the version
	}
	if p == nil || len(bitmap) != len(s.held) {
		return
	}
	s.answered(now, p)
	s.updateBitmap(now, p, bitmap)
	if p.Region == s.self.Region {
		s.meanLocalRoundTrip += (roundTrip - s.meanLocalRoundTrip) / roundTripSmoothing
		return
	}
	s.adjustWindow(now, roundTrip)
}

// RecordBitmap records the bitmap that a peer sent with a request of its own.
func (s *Swarm) RecordBitmap(now time.Time, incarnation string, bitmap Bitmap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peer(incarnation); p != nil && s.holders != nil && len(bitmap) == len(s.held) {
		s.answered(now, p)
		s.updateBitmap(now, p, bitmap)
	}
}

// adjustWindow halves the window when the round trip to other regions has become
// slow. The average round trip inside the region is subtracted first, because it shows
// the load on the network link of this agent's own instance rather than on the links
// between regions.
func (s *Swarm) adjustWindow(now time.Time, roundTrip time.Duration) {
	if s.minRemoteRoundTrip == 0 || roundTrip < s.minRemoteRoundTrip {
		s.minRemoteRoundTrip = roundTrip
	}
	if roundTrip-s.meanLocalRoundTrip > s.minRemoteRoundTrip+maxAddedRoundTrip && now.Sub(s.lastReduction) > windowReductionInterval {
		s.remoteWindow = max(s.profile.MinRemoteWindow, s.remoteWindow/2)
		s.lastReduction = now
	}
}

// StartPolls returns the peers to poll for their bitmaps now: the neighbours that
// are due, and a few others. The caller must call EndPoll for each of them.
func (s *Swarm) StartPolls(now time.Time) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateUnfit(now)
	var out []Peer
	randomLeft := 0
	if now.Sub(s.lastRandomPoll) >= randomPollInterval {
		s.lastRandomPoll = now
		randomLeft = randomPolls
	}
	start := s.random.IntN(max(1, len(s.peers)))
	for i := range s.peers {
		p := s.peers[(start+i)%len(s.peers)]
		if p.polling || now.Sub(p.lastPoll) < s.pollInterval || now.Before(p.avoidUntil) || p.held.Count() == s.manifest.Chunks() {
			continue
		}
		if p.silent(now, s.profile.StallTimeout) {
			s.setAbsent(now, p)
		}
		retry := p.absent && now.Sub(p.lastPoll) >= s.profile.StallTimeout
		if !p.neighbour && !p.pollRequested && !retry {
			if randomLeft == 0 {
				continue
			}
			randomLeft--
		}
		p.lastPoll, p.polling, p.pollRequested = now, true, false
		if p.unansweredSince.IsZero() {
			p.unansweredSince = now
		}
		out = append(out, p.Peer)
	}
	return out
}

// EndPoll marks the poll of a peer as ended.
func (s *Swarm) EndPoll(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peer(incarnation); p != nil {
		p.polling = false
	}
}
