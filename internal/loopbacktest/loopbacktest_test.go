package loopbacktest

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"testing"
)

const childEnvVar = "LABURNUMPOINT_PORT_CHILD"

// Guards against a daemon of one test process that can't listen any more: while it was down another process's test got its port.
func TestProcessesGetPortsOfTheirOwn(t *testing.T) {
	if os.Getenv(childEnvVar) != "" {
		if _, err := os.Stdout.WriteString("port " + strconv.Itoa(Port(t)) + "\n"); err != nil {
			t.Fatal(err)
		}
		return
	}
	mine := make(map[int]bool)
	for range blockPorts {
		mine[Port(t)] = true
	}
	if len(mine) != blockPorts {
		t.Errorf("%d ports in one round, want %d", len(mine), blockPorts)
	}
	child := exec.Command(os.Args[0], "-test.run=^TestProcessesGetPortsOfTheirOwn$")
	child.Env = append(os.Environ(), childEnvVar+"=1")
	out, err := child.Output()
	if err != nil {
		t.Fatal(err)
	}
	var port int
	if _, err := fmt.Sscanf(string(out), "port %d", &port); err != nil || mine[port] {
		t.Errorf("the other process has port %d (%v), want one of another block", port, err)
	}
}
