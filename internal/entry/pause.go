package entry

import (
	"sync/atomic"
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

// gapWindow is how long a gapRecorder remembers a gap. A process that gets little processor time has a backlog of messages for some
// time after a gap.
const gapWindow = time.Second

// gapRecorder keeps the longest recent time during which the control goroutine did not run. On a host that gets the processor
// in time it runs every tickInterval. The recorder can be used by several goroutines.
type gapRecorder struct{ ranAt, longest, endedAt atomic.Int64 }

// ran records that the control goroutine runs.
func (g *gapRecorder) ran(now time.Duration) {
	last := time.Duration(g.ranAt.Swap(int64(now)))
	if gap := now - last; last != 0 && gap >= g.remembered(now) {
		g.longest.Store(int64(gap))
		g.endedAt.Store(int64(now))
	}
}

// recent returns the longest gap of the last gapWindow. It includes the present one.
func (g *gapRecorder) recent(now time.Duration) time.Duration {
	return max(now-time.Duration(g.ranAt.Load()), g.remembered(now))
}

// maxDelay returns how long a message that is handled now may have waited for this process.
func (g *gapRecorder) maxDelay(now time.Duration) time.Duration {
	return max(g.recent(now)-tickInterval, 0)
}

func (g *gapRecorder) remembered(now time.Duration) time.Duration {
	if now-time.Duration(g.endedAt.Load()) >= gapWindow {
		return 0
	}
	return time.Duration(g.longest.Load())
}
