package inbound

import (
	"bufio"
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

const (
	// memoryLimitShare is the Go runtime's memory limit as a share of the memory. The runtime counts neither the program's own pages nor the
	// C library's and the kernel's buffers.
	memoryLimitShare = 0.6
	// defaultMemoryBytes and defaultDescriptors apply where the system doesn't tell.
	defaultMemoryBytes = 512 << 20
	defaultDescriptors = 1024

	memInfoFile     = "/proc/meminfo"
	groupMemoryFile = "/sys/fs/cgroup/memory.max"
)

// SetMemoryLimit sets the Go runtime's memory limit for a process that may use the memory. It is the last line, behind the budget.
func (o Options) SetMemoryLimit() {
	debug.SetMemoryLimit(int64(float64(o.withDefaults().MemoryBytes) * memoryLimitShare))
}

// machineMemory returns the machine's memory, or the control group's limit if that is less.
func machineMemory() int64 {
	memory := int64(math.MaxInt64)
	if data, err := os.ReadFile(memInfoFile); err == nil {
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) >= 2 && fields[0] == "MemTotal:" {
				if kb, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
					memory = kb << 10
				}
			}
		}
	}
	if data, err := os.ReadFile(groupMemoryFile); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil && limit > 0 {
			memory = min(memory, limit)
		}
	}
	if memory == math.MaxInt64 {
		return defaultMemoryBytes
	}
	return memory
}

// maxDescriptors returns the process's limit of open descriptors.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
