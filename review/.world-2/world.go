// Command world plays a case of review/REPORT-2.md on loopback: entry hosts as real processes, with stand-ins for the platform's
// store and routers, the callers and the backend servers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and settings of a small deployment.
const (
	warmupS         = 2.0
	warmupOvershoot = 1.5
	warmupSlack     = 5
	evacuate        = 5 * time.Second
	drain           = 3 * time.Second
	stableWindow    = 4 * time.Second
	restartDelay    = 300 * time.Millisecond
	readyInterval   = 500 * time.Millisecond
	startSpread     = 300 * time.Millisecond // all hosts start within it
)

type host struct {
	name, zone string
	addr       netip.Addr
	conf       string
	mu         sync.Mutex
	cmd        *exec.Cmd
	misses     int
	relay      *relay // to the store; nil: none
}

type run struct {
	server  *server
	id      flowID
	request string
	synSent time.Time
	synAt   time.Time
	via     *host
}

type world struct {
	began      time.Time
	trouble    bool
	net        byte // second number of all addresses, 127.net.x.y
	packetPort uint16
	readyPort  uint16
	adminPort  uint16
	peerPort   uint16
	serverPort uint16
	dir        string
	store      *store
	zones      []string
	storeAddr  netip.AddrPort
	seeds      []string
	hosts      []*host
	servers    []*server
	callers    []*caller

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	ending   bool
	rotation map[string][]*host
	synSent  map[flowID]time.Time
	via      map[flowID]*host   // to which the opening packet was sent last
	owner    map[flowID]*server // at which a flow opened
	openings []run
	stableAt time.Time // since when the core is stable again
	sent     int
	answered int
	failed   int
	violated []string
	resetsBy map[flowID]*server
	runCount map[string]int
}

func (w *world) at() time.Duration { return time.Since(w.began) }

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, args...)
}

func (w *world) line(format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f %s\n", w.at().Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violated = append(w.violated, text)
	w.line("RULE BROKEN: %s", text)
}

func (w *world) ip(x, y int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(x), byte(y)})
}

// fail ends the case as one that couldn't run.
func (w *world) fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "case couldn't run: "+format+"\n", args...)
	w.finish()
	os.Exit(2)
}

// finish ends all processes.
func (w *world) finish() {
	w.mu.Lock()
	w.ending = true
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.mu.Lock()
		if h.cmd != nil && h.cmd.Process != nil {
			h.cmd.Process.Kill()
		}
		h.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	w.record.Flush()
	w.file.Close()
	w.mu.Unlock()
	os.RemoveAll(w.dir)
}

// portCount is the number of ports that a world uses, from basePort on.
const portCount = 24

// freePorts returns the first of portCount ports that are free on all addresses, for TCP and UDP.
func freePorts() (uint16, bool) {
	for range 1000 {
		base := 20000 + rand.IntN(10000)
		free := true
		for k := 0; k < portCount && free; k++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", base+k))
			if free = err == nil; !free {
				break
			}
			l.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf("0.0.0.0:%d", base+k))
			if free = err == nil; free {
				u.Close()
			}
		}
		if free {
			return uint16(base), true
		}
	}
	return 0, false
}

// freeNet returns the second number of loopback addresses on which the metrics port, which the deploy file sets, is free.
func freeNet() byte {
	for {
		n := byte(20 + rand.IntN(200))
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.10:9464", n)); err == nil {
			l.Close()
			return n
		}
	}
}

func newWorld(record string, trouble bool, zones []string, hostsPerZone ...int) *world {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{began: time.Now(), trouble: trouble, net: freeNet(), dir: dir, zones: zones, file: file, record: bufio.NewWriter(file),
		rotation: map[string][]*host{}, synSent: map[flowID]time.Time{}, via: map[flowID]*host{}, owner: map[flowID]*server{}, resetsBy: map[flowID]*server{}, runCount: map[string]int{}}
	base, ok := freePorts()
	if !ok {
		w.fail("no free ports")
	}
	w.packetPort, w.readyPort, w.adminPort, w.serverPort, w.peerPort = base, base+1, base+2, base+3, base+8
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-stop; w.fail("interrupted") }()
	storeAddr := netip.AddrPortFrom(w.ip(250, 1), base+4)
	if w.store, err = newStore(storeAddr.String()); err != nil {
		w.fail("store: %v", err)
	}
	var seeds []string
	for z, zone := range zones {
		for n := range hostsPerZone[z%len(hostsPerZone)] {
			h := &host{name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, addr: w.ip(1+z, 10+n)}
			w.hosts = append(w.hosts, h)
			if n == 0 && len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%s:%d", h.addr, w.adminPort))
			}
		}
	}
	w.seeds, w.storeAddr = seeds, storeAddr
	w.writeSettings(storeAddr)
	return w
}

// writeSettings writes the settings file of each host, whole at once.
func (w *world) writeSettings(store netip.AddrPort) {
	for _, h := range w.hosts {
		h.conf = filepath.Join(w.dir, h.name+".conf")
		to := store
		if h.relay != nil {
			to = h.relay.addr
		}
		if err := os.WriteFile(h.conf+".new", []byte(w.settings(h, to, w.seeds)), 0o644); err != nil {
			w.fail("settings: %v", err)
		}
		if err := os.Rename(h.conf+".new", h.conf); err != nil {
			w.fail("settings: %v", err)
		}
	}
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		h.cmd.Process.Signal(s)
	}
}

func (w *world) settings(h *host, store netip.AddrPort, seeds []string) string {
	lines := []string{"nodeName=" + h.name, "role=entry", "machineClass=edge", "serves=edge,control_plane", "ip=" + h.addr.String(),
		"zone=" + h.zone, "region=region-1"}
	for _, z := range w.zones {
		lines = append(lines, "zones."+z+"=region-1")
	}
	lines = append(lines, fmt.Sprintf("listen.datagramAddr=%s:%d", h.addr, w.packetPort), fmt.Sprintf("listen.readyAddr=%s:%d", h.addr, w.readyPort),
		fmt.Sprintf("listen.control=%s:%d", h.addr, w.adminPort), fmt.Sprintf("internalPorts=%d,%d", w.peerPort, w.peerPort+15),
		"seeds="+strings.Join(seeds, ","), `bootstrap=true
countsAsLoss=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=announcement
heartbeatMs=1200
contracts=base,drain,config,cost,recover,flows,places,platform
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowMs=4000
bounds.ackTimeoutMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=12000
bounds.warmupOvershoot=1.5
bounds.warmupSlack=5
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.reorderMs=2000
bounds.flowTtlS=60
flowHash=mod
forwardingMode=echo`, "platform.address="+store.String(), `platform.forwardingMode=read
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`)
	return strings.Join(lines, "\n")
}

// keep starts a host and starts it again after each end. The host ends with this process, however that ends.
func (w *world) keep(h *host) {
	runtime.LockOSThread() // the kernel ends the host when this thread has ended
	for {
		w.mu.Lock()
		ending := w.ending
		w.mu.Unlock()
		if ending {
			return
		}
		out, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			w.fail("log: %v", err)
		}
		cmd := exec.Command("target/nutmeglatchd", "entry", "--metrics-port", "9464")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "NUTMEGLATCH_BOOT=" + h.conf}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		h.mu.Lock()
		err = cmd.Start()
		h.cmd = cmd
		h.mu.Unlock()
		if err != nil {
			w.fail("start of a host: %v", err)
		}
		w.log("host %s starts", h.name)
		err = cmd.Wait()
		out.Close()
		w.mu.Lock()
		if !w.ending {
			w.line("host %s has ended: %v", h.name, err)
		}
		w.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// route polls the readiness of the hosts, as the platform's routers do.
func (w *world) route() {
	client := &http.Client{Timeout: readyInterval}
	for {
		rotation := map[string][]*host{}
		for _, h := range w.hosts {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.addr, w.readyPort))
			if err == nil {
				response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				h.misses = 0
			} else {
				h.misses++
			}
			if h.misses < 2 {
				rotation[h.zone] = append(rotation[h.zone], h)
			}
		}
		w.mu.Lock()
		w.rotation = rotation
		w.mu.Unlock()
		time.Sleep(readyInterval)
	}
}

// toSystem sends a packet of a caller to the host that the hash of its addresses selects.
func (w *world) toSystem(c *caller, p *packet) {
	key := make([]byte, 12)
	putAddr(key, 0, 4, p.src)
	putAddr(key, 6, 10, p.dst)
	hash := fnv.New32a()
	hash.Write(key)
	w.mu.Lock()
	if p.flags&flagSYN != 0 && p.ack == 0 {
		w.synSent[flowID{p.src, p.dst}] = time.Now()
	}
	hosts := w.rotation[c.zone]
	for _, zone := range w.zones {
		if len(hosts) == 0 {
			hosts = w.rotation[zone]
		}
	}
	w.mu.Unlock()
	if len(hosts) == 0 {
		return
	}
	h := hosts[int(hash.Sum32())%len(hosts)]
	if p.flags&flagSYN != 0 {
		w.mu.Lock()
		w.via[flowID{p.src, p.dst}] = h
		w.mu.Unlock()
	}
	c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(h.addr, w.packetPort))
}

func (w *world) toCaller(conn *net.UDPConn, p *packet) {
	conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), w.packetPort))
}

func (w *world) opened(s *server, id flowID, synAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner[id] = s
	w.openings = append(w.openings, run{server: s, id: id, synSent: w.synSent[id], synAt: synAt, via: w.via[id]})
}

// runs records that a server has begun to work on a request.
func (w *world) runs(s *server, id flowID, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("run %s at %s (%s, %s), flow %s", request, s.id, s.service, s.zone, id.caller)
	w.runCount[request]++
}

// resets records that a server resets a flow that it doesn't hold.
func (w *world) resets(s *server, id flowID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetsBy[id] = s
	w.line("server %s resets flow %s, which it doesn't hold", s.id, id.caller)
}

// unstable records that the core is disturbed, or no longer is.
func (w *world) unstable(disturbed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stableAt = time.Now().Add(stableWindow)
	if disturbed {
		w.stableAt = time.Now().Add(time.Hour)
	}
}

// wasReset records that a caller has got a reset of an open flow.
func (w *world) wasReset(f *flow, by string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	owner, sender := w.owner[f.id], w.resetsBy[f.id]
	w.line("caller gets a reset of flow %s by the %s", f.id.caller, by)
	if owner == nil || !owner.running || time.Now().Before(w.stableAt) {
		return // no machine is in touch while the core is unstable
	}
	switch {
	case by == "system":
		w.violation("FLOW: flow %s of %s was reset by the system while %s lives", f.id.caller, owner.id, owner.id)
	case sender != nil && sender != owner:
		w.violation("FLOW: flow %s is open at %s, which lives, and was reset by %s", f.id.caller, owner.id, sender.id)
	}
}

func (w *world) addServer(id, service string, zone, n int, work, phase time.Duration) *server {
	s := &server{w: w, id: id, service: service, zone: w.zones[zone], addr: netip.AddrPortFrom(w.ip(100+zone, 10+n), w.serverPort), work: work, beatAt: phase}
	if err := s.start(0); err != nil {
		w.fail("server: %v", err)
	}
	w.servers = append(w.servers, s)
	return s
}

func (w *world) addCaller(zone, n int) *caller {
	c, err := newCaller(w, w.ip(200+zone, 10+n), w.zones[zone])
	if err != nil {
		w.fail("caller: %v", err)
	}
	w.callers = append(w.callers, c)
	return c
}

// begin starts the hosts and waits until all are in rotation.
func (w *world) begin() {
	for _, h := range w.hosts {
		go w.keep(h)
		time.Sleep(startSpread / time.Duration(len(w.hosts)))
	}
	go w.route()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		n := 0
		for _, list := range w.rotation {
			n += len(list)
		}
		w.mu.Unlock()
		if n == len(w.hosts) && w.at() > 4*time.Second {
			return
		}
	}
	w.fail("the hosts didn't become ready")
}

func (w *world) note(id string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed++
		w.line("not answered %s: %v", id, err)
		return
	}
	w.answered++
	w.line("answered %s", id)
}

func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	id := fmt.Sprintf("a%06d", w.sent)
	w.line("sent %s", id)
	return id
}

// short sends a request on a flow of its own, with up to two further tries.
func (w *world) short(c *caller, service netip.AddrPort, deadline time.Duration) {
	end := time.Now().Add(deadline)
	for range 3 {
		id := w.nextID()
		f, err := c.dial(service)
		if err == nil {
			err = f.request(id, time.Until(end))
		}
		w.note(id, err)
		if err == nil {
			f.close()
			return
		}
		if time.Now().After(end) {
			return
		}
	}
}

// shortFlows opens n flows a second for some time.
func (w *world) shortFlows(callers []*caller, service netip.AddrPort, perSecond int, deadline, lasts time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		<-ticker.C
		go w.short(callers[rand.IntN(len(callers))], service, deadline)
	}
}

// longFlow keeps a flow open and sends a request after each pause, until stop is closed.
func (w *world) longFlow(c *caller, service netip.AddrPort, pause, deadline time.Duration, stop chan struct{}) {
	var f *flow
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		id := w.nextID()
		var err error
		if f == nil {
			f, err = c.dial(service)
		}
		if err == nil {
			err = f.request(id, deadline)
		}
		w.note(id, err)
		if err != nil {
			f = nil
		}
	}
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}

func configOf(version int, perS float64, services []string, routes ...route) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": warmupS, "warmupPerS": perS})
	}
	return map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

func routeOf(name string, to netip.AddrPort, service, kind string, timeout, target int) route {
	return route{Name: name, Host: to.Addr().String(), Prefix: fmt.Sprintf("/%d/", to.Port()), Kind: kind, TimeoutMs: timeout, TargetLatencyMs: target, Priority: 1, Service: service, MaxAttempts: 2}
}

// result ends the case.
func (w *world) result() {
	w.mu.Lock()
	w.line("sent %d, answered %d, not answered %d, runs %d, times the rule was broken %d", w.sent, w.answered, w.failed, len(w.runCount), len(w.violated))
	broken, sent, answered := len(w.violated), w.sent, w.answered
	var first string
	if broken > 0 {
		first = w.violated[0]
	}
	w.mu.Unlock()
	w.finish()
	fmt.Printf("trouble=%v sent=%d answered=%d broken=%d %s\n", w.trouble, sent, answered, broken, first)
	switch {
	case broken > 0:
		os.Exit(1)
	case answered*2 < sent:
		fmt.Println("fewer than half of the requests were answered")
		os.Exit(2)
	}
	os.Exit(0)
}

var cases = map[string]func(record string, trouble bool){}

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	play(*record, os.Getenv("TROUBLE") != "0")
}
