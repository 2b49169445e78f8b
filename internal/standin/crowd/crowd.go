package crowd

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// sendTimeout limits what one connection takes until its client has sent everything.
	sendTimeout = 5 * time.Second
	// redialPause is the time from the end of a client's connection until it connects again.
	redialPause = 200 * time.Millisecond
	// settleTime is how long the process may read what has been sent before the ordinary request.
	settleTime = 300 * time.Millisecond
	// sampleInterval is the time between two counts of a process's descriptors.
	sampleInterval = 20 * time.Millisecond
)

// Trial sends a crowd to a process.
type Trial struct {
	// PIDs are the processes to measure.
	PIDs []int
	Addr string
	// Clients is the number of clients; each connects again when its connection ends.
	Clients int
	Client  Client
	// Ordinary sends an ordinary request, and again until it is answered. It is called while the crowd is connected and afterwards.
	Ordinary func()
}

// Run returns what each process used from its start to the end of the trial.
func (t Trial) Run() []Usage {
	var meters []*meter
	for _, pid := range t.PIDs {
		m := startMeter(pid)
		defer m.end()
		meters = append(meters, m)
	}
	c := &crowd{conns: make(map[net.Conn]struct{}), stopped: make(chan struct{})}
	defer c.stop()
	for range t.Clients {
		c.sending.Add(1)
		c.clients.Go(func() { c.run(t.Addr, t.Client) })
	}
	c.sending.Wait()
	time.Sleep(settleTime)
	t.Ordinary()
	c.stop()
	t.Ordinary()
	var usages []Usage
	for _, m := range meters {
		usages = append(usages, m.end())
	}
	return usages
}

// crowd is the running clients of a trial.
type crowd struct {
	// sending counts the clients that have not sent everything a first time.
	sending, clients sync.WaitGroup
	stopped          chan struct{}
	stopOnce         sync.Once
	mu               sync.Mutex
	conns            map[net.Conn]struct{}
}

func (c *crowd) run(addr string, client Client) {
	sent := sync.OnceFunc(c.sending.Done)
	defer sent()
	for {
		if conn, err := net.DialTimeout("tcp", addr, sendTimeout); err == nil && c.add(conn) {
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only on a closed connection
			client(conn, func() {
				_ = conn.SetWriteDeadline(time.Time{})
				sent()
			})
			c.remove(conn)
		}
		sent()
		select {
		case <-c.stopped:
			return
		case <-time.After(redialPause):
		}
	}
}

// add reports false, and closes the connection, if the crowd has been stopped.
func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stopped:
		conn.Close()
		return false
	default:
	}
	c.conns[conn] = struct{}{}
	return true
}

func (c *crowd) remove(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// stop closes all connections and returns when all clients have ended.
func (c *crowd) stop() {
	c.stopOnce.Do(func() {
		c.mu.Lock()
		close(c.stopped)
		for conn := range c.conns {
			conn.Close()
		}
		c.mu.Unlock()
	})
	c.clients.Wait()
}

// Usage is what a process used at most.
type Usage struct {
	MemoryMB    int
	Descriptors int
	// Err says why the last count failed, for example since the process has ended.
	Err error
}

// Exceeds returns what is wrong with the usage of a process with the given memory and descriptors; nil if nothing is.
func (u Usage) Exceeds(memoryMB, descriptors int) error {
	switch {
	case u.Err != nil:
		return u.Err
	case u.MemoryMB >= memoryMB:
		return fmt.Errorf("the process used up to %d MB of memory, has %d MB", u.MemoryMB, memoryMB)
	case u.Descriptors >= descriptors:
		return fmt.Errorf("the process had up to %d descriptors open, may have %d", u.Descriptors, descriptors)
	}
	return nil
}

// meter counts a process's descriptors again and again, and its memory.
type meter struct {
	usage       Usage
	stop, ended chan struct{}
	stopOnce    sync.Once
}

func startMeter(pid int) *meter {
	m := &meter{stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(m.ended)
		for {
			m.sample(pid)
			select {
			case <-m.stop:
				m.sample(pid)
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return m
}

func (m *meter) end() Usage {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.ended
	return m.usage
}

func (m *meter) sample(pid int) {
	descriptors, err := countDescriptors(pid)
	if err == nil {
		m.usage.Descriptors = max(m.usage.Descriptors, descriptors)
		m.usage.MemoryMB, err = peakMemoryMB(pid)
	}
	m.usage.Err = err
}

func countDescriptors(pid int) (int, error) {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	return len(names), err
}

// peakMemoryMB returns the most memory that a process has had resident since its start.
func peakMemoryMB(pid int) (int, error) {
	const field, unit = "VmHWM:", "kB"
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kB, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), unit)))
			return kB >> 10, err
		}
	}
	return 0, fmt.Errorf("the status of process %d has no %s", pid, field)
}
