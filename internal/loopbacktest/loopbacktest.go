// Package loopbacktest gives tests loopback ports that stay theirs while nothing listens on them.
package loopbacktest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// The ports are below those that the system gives to outgoing connections. Each test process has a block of its own.
const (
	firstPort  = 12000
	blockPorts = 500
	blocks     = 36
)

// portBlock is the block of this process, locked until the process ends.
type portBlock struct {
	lock  *os.File
	first int
	next  atomic.Int64
}

var errNoBlock = errors.New("every block of ports is in use")

var lockBlock = sync.OnceValues(func() (*portBlock, error) {
	for i := range blocks {
		lock, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("laburnumpoint-test-ports-%d.lock", i)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, err
		}
		if syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			return &portBlock{lock: lock, first: firstPort + i*blockPorts}, nil
		}
		lock.Close()
	}
	return nil, errNoBlock
})

// Port returns a loopback port that nothing listens on. No other test process gets it while this one lives, and this one not before it has
// been through its block.
func Port(t testing.TB) int {
	t.Helper()
	block, err := lockBlock()
	if err != nil {
		t.Fatal(err)
	}
	for range blockPorts {
		port := block.first + int(block.next.Add(1)%blockPorts)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			l.Close()
			return port
		}
	}
	t.Fatalf("no free port from %d on", block.first)
	return 0
}
