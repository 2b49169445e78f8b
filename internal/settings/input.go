package settings

import "laburnumpoint/internal/inbound"

// Names of the flags that bound what a daemon holds of what others send.
const (
	flagMemory         = "memory-mb"
	flagMaxDescriptors = "max-descriptors"
	flagMaxConnections = "max-connections"
	flagInputMemory    = "input-memory-mb"
	flagMaxHeaderBytes = "max-header-bytes"
)

// Ranges of their values. 0 takes the default, apart from heads.
const (
	minMemoryMB       = 64
	maxMemoryMB       = 1 << 24
	minDescriptors    = 256
	maxDescriptors    = 1 << 24
	minConnections    = 16
	maxConnections    = 1 << 20
	minInputMemoryMB  = 8
	minMaxHeaderBytes = 4 << 10
	maxMaxHeaderBytes = 1 << 20
)

// What they mean.
const (
	usageMemory         = "memory that the process may use; 0 for that of the VM"
	usageMaxDescriptors = "descriptors that the process may have open; 0 for the process's limit"
	usageMaxConnections = "maximum number of callers' connections; at it one that has sent nothing, makes least progress or is idle longest is closed for a new one; 0 for the least of half of the descriptors, less 200 for files, and one for each 100 KiB of memory"
	usageInputMemory    = "memory for what is read from others and decoded, a quarter of it for small requests only; 0 for a quarter of the memory"
	usageMaxHeaderBytes = "maximum size of a request's headers; larger ones are refused with 431"
)

// inputProblem returns the name of the first flag whose value is out of range and what is wanted, nothing if there is none.
func inputProblem(o inbound.Options) (flag, want string) {
	within := func(n, lowest, highest int64) bool { return n == 0 || (n >= lowest && n <= highest) }
	switch {
	case !within(o.MemoryBytes>>20, minMemoryMB, maxMemoryMB):
		return flagMemory, "0, or 64 and more"
	case !within(int64(o.Descriptors), minDescriptors, maxDescriptors):
		return flagMaxDescriptors, "0, or 256 and more"
	case !within(int64(o.MaxConns), minConnections, maxConnections):
		return flagMaxConnections, "0, or 16 to 1048576"
	case !within(o.BudgetBytes>>20, minInputMemoryMB, maxMemoryMB):
		return flagInputMemory, "0, or 8 and more"
	case o.MemoryBytes > 0 && o.BudgetBytes > o.MemoryBytes:
		return flagInputMemory, "at most --" + flagMemory
	case o.MaxHeaderBytes < minMaxHeaderBytes || o.MaxHeaderBytes > maxMaxHeaderBytes:
		return flagMaxHeaderBytes, "4096 to 1048576"
	}
	return "", ""
}
