package entry

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// pauseDetector detects that this process did not run for a while, because it was stopped, its host was frozen, or other
// work had the processor.
type pauseDetector struct {
	ranAt        time.Duration // last call of ran; 0: never
	pause        time.Duration // the last pause
	backlogUntil time.Duration // messages handled earlier may have waited since before the end of the last pause
}

// ran records that the process runs. It returns the length of the pause that has just ended, or 0.
func (d *pauseDetector) ran(now time.Duration) time.Duration {
	last := d.ranAt
	d.ranAt = now
	if last == 0 || now-last <= affinity.HostPauseThreshold {
		return 0
	}
	d.pause, d.backlogUntil = now-last, now+affinity.BacklogTime
	return d.pause
}

// waited returns how long a message that is handled now may have waited because of a pause.
func (d *pauseDetector) waited(now time.Duration) time.Duration {
	if now >= d.backlogUntil {
		return 0
	}
	return d.pause
}
