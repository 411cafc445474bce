//go:build review

// Command standin plays the cases of the review that are scripts. It starts entry hosts as separate processes and stands in
// for the platform's store, the sysadmin, the routers, the endpoints and the requesters, all on loopback addresses.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	packetPort   = 8172
	readyPort    = 8167
	controlPort  = 8166
	peerPort     = 7720
	storePort    = 8169
	endpointPort = 8080

	configApply  = 3 * time.Second // bounds.configApplyMs
	stableWindow = 4 * time.Second // bounds.stableWindowMs
	heartbeat    = 1200 * time.Millisecond
)

// world holds all parties of a case.
type world struct {
	network int // second octet of all addresses
	folder  string
	started time.Time
	store   *store
	hosts   []*entryHost

	mu     sync.Mutex
	record *os.File
}

// entryHost is an entry host of the product, a process of its own.
type entryHost struct {
	name, zone string
	ip         string
	storeIP    string // address under which this host reaches the store
	cmd        *exec.Cmd
	ended      chan struct{}
	settings   string
	log        *os.File
	mu         sync.Mutex
	inRotation bool
	misses     int
}

// newWorld picks a free part of the loopback network.
func newWorld(recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, record: record, started: time.Now()}
	for range 100 {
		var b [1]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, err
		}
		w.network = 16 + int(b[0])%200
		l, err := net.Listen("tcp4", w.addr(9, 1, storePort))
		if err != nil {
			continue
		}
		l.Close()
		return w, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (w *world) ip(c, d int) string         { return fmt.Sprintf("127.%d.%d.%d", w.network, c, d) }
func (w *world) addr(c, d, port int) string { return fmt.Sprintf("%s:%d", w.ip(c, d), port) }

// now returns the time since the world was created.
func (w *world) now() time.Duration { return time.Since(w.started) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// zones are those of qbph-lahore, and hostsIn is the number of entry hosts in each.
var (
	zones   = []string{"lhr-gulberg", "lhr-cantt", "fsd-main", "mtn-depot"}
	hostsIn = []int{2, 2, 1, 1}
)

// addHosts creates the settings of the entry hosts.
func (w *world) addHosts() error {
	for z, zone := range zones {
		for n := range hostsIn[z] {
			h := &entryHost{name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, ip: w.ip(z+1, n+10), storeIP: w.ip(9, len(w.hosts)+1)}
			w.hosts = append(w.hosts, h)
		}
	}
	var seeds []string
	for i := 0; i < len(w.hosts); i += 2 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.hosts[i].ip, controlPort))
	}
	for _, h := range w.hosts {
		var b strings.Builder
		line := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
		line("nodeName", h.name)
		line("role", "entry")
		line("machineClass", "edge")
		line("serves", "edge,control_plane")
		line("ip", h.ip)
		line("zone", h.zone)
		line("region", "pk-punjab")
		for _, zone := range zones {
			line("zones."+zone, "pk-punjab")
		}
		line("listen.datagramAddr", fmt.Sprintf("%s:%d", h.ip, packetPort))
		line("listen.readyAddr", fmt.Sprintf("%s:%d", h.ip, readyPort))
		line("listen.control", fmt.Sprintf("%s:%d", h.ip, controlPort))
		line("internalPorts", fmt.Sprintf("%d,%d", peerPort, peerPort+15))
		line("seeds", strings.Join(seeds, ","))
		line("bootstrap", "true")
		line("heartbeatMs", heartbeat.Milliseconds())
		line("contracts", "base,drain,config,cost,recover,flows,places,platform")
		line("bounds.reuseAfterS", 2)
		line("bounds.stableWindowMs", stableWindow.Milliseconds())
		line("bounds.drainMs", 3000)
		line("bounds.graceS", 6)
		line("bounds.configApplyMs", configApply.Milliseconds())
		line("bounds.rollbackSlackMs", 250)
		line("bounds.maxSkewMs", 12000)
		line("bounds.warmupOvershoot", 1.5)
		line("bounds.warmupSlack", 5)
		line("bounds.evacuateMs", 5000)
		line("bounds.reorderMs", 2000)
		line("bounds.flowTtlS", 60)
		line("flowHash", "mod")
		line("forwardingMode", "echo")
		line("platform.address", fmt.Sprintf("%s:%d", h.storeIP, storePort))
		line("platform.forwardingMode", "read")
		line("platform.readsPerS", 2000)
		line("platform.historyS", 20)
		line("platform.valueBytes", maxValue)
		h.settings = filepath.Join(w.folder, h.name+".conf")
		if err := os.WriteFile(h.settings, []byte(b.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a host with the command of the deploy file.
func (w *world) start(h *entryHost) error {
	log, err := os.OpenFile(filepath.Join(w.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.cmd = exec.Command("target/nutmeglatchd", "entry", "--metrics-port", "9464")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "NUTMEGLATCH_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	cmd, ended := h.cmd, h.ended
	go func() {
		err := cmd.Wait()
		w.note("process of %s ended: %v", h.name, err)
		close(ended)
	}()
	w.note("process of %s started", h.name)
	return nil
}

// startAll starts all hosts and waits until all are ready.
func (w *world) startAll() error {
	for _, h := range w.hosts {
		if err := w.start(h); err != nil {
			return err
		}
	}
	go w.pollReady()
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		ready := 0
		for _, h := range w.hosts {
			if h.takes() {
				ready++
			}
		}
		if ready == len(w.hosts) {
			w.note("all %d hosts are ready", ready)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the hosts did not become ready")
}

func (h *entryHost) takes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inRotation
}

// pollReady stands in for the routers' readiness checks: two a second, out of rotation after two misses.
func (w *world) pollReady() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for {
		for _, h := range w.hosts {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, readyPort))
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					response.Body.Close()
				}
				h.mu.Lock()
				defer h.mu.Unlock()
				if ok {
					h.misses, h.inRotation = 0, true
				} else if h.misses++; h.misses >= 2 {
					h.inRotation = false
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// pick returns the host that the routers of a zone send a flow to.
func (w *world) pick(zone string, hash uint32) *entryHost {
	var all, in []*entryHost
	for _, h := range w.hosts {
		if h.zone != zone {
			continue
		}
		all = append(all, h)
		if h.takes() {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	return in[int(hash)%len(in)]
}

// close ends all processes that the world started and removes its folder, or keeps it if KEEP is set.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.ended != nil {
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
	w.record.Close()
}

// newID returns a new id of an endpoint.
func newID() string {
	var b [5]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return "i-" + hex.EncodeToString(b[:])
}
