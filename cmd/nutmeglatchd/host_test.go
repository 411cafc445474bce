package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// runAsDaemon makes the test binary run as nutmeglatchd, so that the tests
// start real processes without a separate build.
const runAsDaemon = "NUTMEGLATCHD_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		main()
		return
	}
	if err := claimNetworks(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// Concurrent test runs use different loopback networks: each run claims a block
// of network numbers by listening on the port of the block.
const (
	networkBlocks   = 4
	networksInBlock = 16
	blockPort       = 29480 // of the first block
	claimTimeout    = 5 * time.Minute
)

// networkOffset is added to the network numbers of this run. networkClaim is
// the listener that claims them; a listener without a reference is closed by
// the garbage collector.
var (
	networkOffset byte
	networkClaim  net.Listener
)

func claimNetworks() error {
	for end := time.Now().Add(claimTimeout); time.Now().Before(end); time.Sleep(time.Second) {
		for block := range networkBlocks {
			if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", blockPort+block)); err == nil {
				networkClaim, networkOffset = l, byte(block*networksInBlock)
				return nil
			}
		}
	}
	return fmt.Errorf("all %d blocks of loopback networks are in use", networkBlocks)
}

// hostProcess is one entry host.
type hostProcess struct {
	host     document.Host
	settings string
	admin    netip.AddrPort
	cmd      *exec.Cmd
	output   *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (b *testFleet) newHost(h document.Host) *hostProcess {
	p := &hostProcess{host: h, admin: netip.AddrPortFrom(h.Address, 9090), output: &lockedBuffer{}}
	p.settings = filepath.Join(b.t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(`host_id: %s
data_centre: %s
region: region
gue: %s:6080
peer: %s:6090
admin: %s
fabric_return: %s
peer_key: %s
platform: {type: http, url: %q, prefix: %s, wait: 5s, poll: 10s}
limits: {command_deadline: 1s, claim_retention: %s}
shutdown: {quiet_for: 500ms, limit: 20s}
workers: 2
`, h.ID, h.DataCentre, h.Address, h.Address, p.admin, b.fabric.Addr(), testKey, b.platform.URL(), testPrefix, testRetention)
	b.must(os.WriteFile(p.settings, []byte(text), 0o600))
	b.start(p)
	b.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if b.t.Failed() {
			b.t.Logf("output of %s:\n%s", p.host.ID, p.output)
		}
	})
	return p
}

// daemonCommand returns a command that runs this binary as nutmeglatchd.
func daemonCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsDaemon+"=1")
	return cmd
}

func (b *testFleet) start(p *hostProcess) {
	b.t.Helper()
	p.cmd = daemonCommand("--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = io.Discard, p.output
	b.must(p.cmd.Start())
}

func (b *testFleet) signal(p *hostProcess, s os.Signal) {
	b.t.Helper()
	b.must(p.cmd.Process.Signal(s))
}

// kill kills the process of an entry host, without a graceful shutdown.
func (b *testFleet) kill(p *hostProcess) {
	b.t.Helper()
	b.must(p.cmd.Process.Kill())
	_ = p.cmd.Wait()
}

// get returns a page of the operators' interface of an entry host.
func (p *hostProcess) get(path string) ([]byte, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.admin.String() + path)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

func (p *hostProcess) status() (admin.Status, error) {
	var st admin.Status
	body, err := p.get("/status")
	if err != nil {
		return st, err
	}
	return st, json.Unmarshal(body, &st)
}

// waitStatus waits until the status of each host fulfils a condition.
func (b *testFleet) waitStatus(what string, condition func(*admin.Status) bool, hosts ...*hostProcess) {
	b.t.Helper()
	for _, p := range hosts {
		b.wait(p.host.ID+": "+what, func() bool {
			st, err := p.status()
			return err == nil && condition(&st)
		})
	}
}

func (b *testFleet) waitServing(hosts ...*hostProcess) {
	b.t.Helper()
	b.waitStatus("serves", func(st *admin.Status) bool { return st.Serving && st.Majority && len(st.Services) > 0 }, hosts...)
}

// waitVersion waits until the version of svc is in effect on hosts.
func (b *testFleet) waitVersion(svc *document.Service, hosts ...*hostProcess) {
	b.t.Helper()
	b.waitStatus(fmt.Sprintf("%s version %d", svc.Name, svc.Version), func(st *admin.Status) bool {
		return versionOf(st, svc.Name) == svc.Version
	}, hosts...)
}

// versionOf returns the accepted version of a service, 0 for none.
func versionOf(st *admin.Status, service string) uint64 {
	for _, s := range st.Services {
		if s.Name == service {
			return s.Version
		}
	}
	return 0
}

// waitMember waits until hosts report the member id in a state.
func (b *testFleet) waitMember(id, state string, hosts ...*hostProcess) {
	b.t.Helper()
	b.waitStatus(id+" is "+state, func(st *admin.Status) bool {
		for _, h := range st.Hosts {
			if h.ID == id {
				return h.State == state
			}
		}
		return false
	}, hosts...)
}

// others returns the entry hosts except some.
func (b *testFleet) others(except ...*hostProcess) []*hostProcess {
	var out []*hostProcess
	for _, p := range b.hosts {
		skip := false
		for _, e := range except {
			skip = skip || e == p
		}
		if !skip {
			out = append(out, p)
		}
	}
	return out
}
