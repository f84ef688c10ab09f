package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// memoryMB is the memory of a machine on both small sites.
	memoryMB = 284
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	machineCount = 3
	readyWait    = 15 * time.Second
	callTimeout  = time.Second
)

// scenario is one run of a case.
type scenario struct {
	trouble bool
	began   time.Time
	folder  string
	store   *standin.Store

	mutex    sync.Mutex
	record   *os.File
	machines []*machine
	closers  []func()
}

func newScenario(recordPath string, trouble bool) (*scenario, error) {
	folder, err := os.MkdirTemp("", "wheatweir-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	s := &scenario{trouble: trouble, began: time.Now(), folder: folder, store: store, record: record}
	s.note("the disruption is %s", map[bool]string{true: "on", false: "off"}[trouble])
	return s, nil
}

// note writes a line into the record.
func (s *scenario) note(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// end ends all that the run has started.
func (s *scenario) end() {
	for _, m := range s.machines {
		m.end()
	}
	for _, closer := range s.closers {
		closer()
	}
	s.store.Close()
	_ = os.RemoveAll(s.folder)
}

// machine is one front machine: a daemon as a process, which the platform starts again when it ends.
type machine struct {
	scenario *scenario
	name     string
	ip       string
	settings string

	mutex   sync.Mutex
	process *os.Process
	wanted  bool
	ended   chan struct{}
	// peakKB is the largest resident memory that was seen, overruns how often the platform killed the process for its
	// memory, and starts how often it was started.
	peakKB   int
	overruns int
	starts   int
}

// Ports of every machine, as the example on the pages has them.
const (
	frontPort     = 8149
	readyPort     = 8141
	peerPort      = 8144
	directoryPort = 8143
)

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// startMachines starts the front machines, each on a loopback address of its own, and waits until they are ready.
func (s *scenario) startMachines() error {
	zones := []string{"north-hall", "south-hall", "pier-room"}
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return err
	}
	base := 10 + os.Getpid()%200
	for number := range machineCount {
		s.machines = append(s.machines, &machine{
			scenario: s, name: fmt.Sprintf("front-%s-1", zones[number]), ip: fmt.Sprintf("127.%d.%d.1", base, number+1),
		})
	}
	var seeds []string
	for _, m := range s.machines {
		seeds = append(seeds, m.at(peerPort))
	}
	for number, m := range s.machines {
		m.settings = filepath.Join(s.folder, m.name+".ini")
		text, err := fill(string(template), map[string]string{
			"{{node}}": m.name, "{{zone}}": zones[number], "{{region}}": "ruse",
			"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}": "north-hall=ruse,south-hall=ruse,pier-room=ruse",
			"{{platform.address}}":                 s.store.Address(), "{{limits.memoryMb}}": strconv.Itoa(memoryMB), "{{limits.cpuShare}}": "0.4",
			"{{listen.front}}": m.at(frontPort), "{{listen.ready}}": m.at(readyPort), "{{listen.directory}}": m.at(directoryPort),
			"{{listen.control}}": m.at(peerPort), "{{ip}}": m.ip, "{{seeds}}": strings.Join(seeds, ","),
			"{{bounds.configApplyMs}}": "2000", "{{bounds.graceS}}": "8", "{{bounds.retryBudgetRatio}}": "0.2", "{{bounds.retrySlack}}": "56",
			"{{bounds.checksFence}}": "true", "{{bounds.leaseMs}}": "3000",
			"{{#bounds.strictRevoke}}revoke_within = {{bounds.revokeMs}}ms{{/bounds.strictRevoke}}": "",
			"{{#bounds.evacuateMs}}evacuate_within = {{bounds.evacuateMs}}ms{{/bounds.evacuateMs}}": "",
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := m.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// fill fills the gaps of the settings' template.
func fill(text string, gaps map[string]string) (string, error) {
	for gap, value := range gaps {
		if strings.HasPrefix(gap, "{{#") {
			text = strings.ReplaceAll(text, gap, value)
		}
	}
	for gap, value := range gaps {
		text = strings.ReplaceAll(text, gap, value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has gaps that this stand-in does not know:\n%s", text)
	}
	return text, nil
}

func (m *machine) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.wanted = true
	return m.launch()
}

// launch starts the process, and again after a short delay when it ends. The mutex is held.
func (m *machine) launch() error {
	command := exec.Command("target/wheatweird", "--entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WHEATWEIR_SETTINGS=" + m.settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := os.OpenFile(filepath.Join(m.scenario.folder, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	m.process = command.Process
	m.starts++
	ended := make(chan struct{})
	m.ended = ended
	watched := make(chan struct{})
	go m.watchMemory(command.Process, watched)
	go func() {
		err := command.Wait()
		close(watched)
		_ = output.Close()
		m.mutex.Lock()
		wanted := m.wanted
		m.process = nil
		m.mutex.Unlock()
		if wanted {
			m.scenario.note("%s: the process ended (%v)", m.name, err)
			time.Sleep(restartDelay)
			m.mutex.Lock()
			if m.wanted {
				_ = m.launch()
			}
			m.mutex.Unlock()
		}
		close(ended)
	}()
	return nil
}

// watchMemory kills a process that is over the machine's memory, as the platform does.
func (m *machine) watchMemory(process *os.Process, ended <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		resident := residentKB(process.Pid)
		m.mutex.Lock()
		m.peakKB = max(m.peakKB, resident)
		over := resident > memoryMB*1024
		if over {
			m.overruns++
		}
		m.mutex.Unlock()
		if over {
			m.scenario.note("%s: over its memory (%d MB of %d): killed, as the platform does", m.name, resident/1024, memoryMB)
			_ = process.Kill()
			return
		}
	}
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

func (m *machine) end() {
	m.mutex.Lock()
	m.wanted = false
	process, ended := m.process, m.ended
	if process != nil {
		_ = process.Kill()
	}
	m.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

// figures returns the peak of the memory, the kills for memory and the starts so far.
func (m *machine) figures() (peakMB, overruns, starts int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peakKB / 1024, m.overruns, m.starts
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: callTimeout}
	answer, err := client.Get("http://" + m.at(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (m *machine) waitReady() error {
	for until := time.Now().Add(readyWait); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// listenServer opens a stand-in server's port and returns its address.
func (s *scenario) listenServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}
