package restart

import "time"

const (
	// ProbeInterval is the time between two checks whether an ended backend server is back. The cold period counts from the
	// first answer that was seen, so the interval is added to it at most.
	ProbeInterval = time.Second
	// InquiryInterval is the time after which a host that does not check an ended backend server itself asks about it, in case
	// it missed the news of the start.
	InquiryInterval = 10 * time.Second
	// runInterval is the minimum time between two runs of a Schedule.
	runInterval = 250 * time.Millisecond
	// maxVisits is the maximum number of visits in a run, which bounds the connections to 32 a second when thousands of
	// backend servers have ended.
	maxVisits = 8
)

// Schedule spaces the checks of ended backend servers.
type Schedule[K comparable] struct {
	due   map[K]time.Duration
	ranAt time.Duration
}

// Add schedules a first visit after ProbeInterval, unless there is one.
func (s *Schedule[K]) Add(key K, now time.Duration) {
	if s.due == nil {
		s.due = map[K]time.Duration{}
	}
	if _, ok := s.due[key]; !ok {
		s.due[key] = now + ProbeInterval
	}
}

// Run calls visit for the keys that are due. visit returns the time until the next visit, or 0 to end them.
func (s *Schedule[K]) Run(now time.Duration, visit func(K) time.Duration) {
	if now-s.ranAt < runInterval {
		return
	}
	s.ranAt = now
	visits := 0
	for key, due := range s.due {
		if now < due {
			continue
		}
		if visits++; visits > maxVisits {
			return
		}
		if again := visit(key); again > 0 {
			s.due[key] = now + again
		} else {
			delete(s.due, key)
		}
	}
}
