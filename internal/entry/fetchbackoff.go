package entry

import (
	"net/netip"
	"time"
)

const (
	// maxFetchDoublings bounds how often the delay after a failed fetch from a host doubles, up to 3.2 s.
	maxFetchDoublings = 4
	// maxFailedHosts bounds the number of hosts whose failed fetches are remembered.
	maxFailedHosts = 64
)

// fetchBackoff delays further fetches from hosts from which fetches have failed, since the same fetch is likely to fail again:
// the copy may exceed the bound or be malformed. Fetches from other hosts are not delayed.
type fetchBackoff map[netip.AddrPort]failedFetches

type failedFetches struct {
	count     int           // consecutive failures
	notBefore time.Duration // earliest time of the next fetch
}

// allows reports whether a fetch from a host may start.
func (b fetchBackoff) allows(host netip.AddrPort, now time.Duration) bool {
	return now >= b[host].notBefore
}

// failed records a failed fetch.
func (b fetchBackoff) failed(host netip.AddrPort, now time.Duration) {
	if len(b) >= maxFailedHosts {
		clear(b)
	}
	f := b[host]
	f.notBefore = now + fetchDelay<<min(f.count, maxFetchDoublings)
	f.count++
	b[host] = f
}

// succeeded records a successful fetch.
func (b fetchBackoff) succeeded(host netip.AddrPort) { delete(b, host) }
