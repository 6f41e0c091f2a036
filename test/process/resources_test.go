package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// maxResidentBytes is the memory limit of the control plane on a VM. Each daemon must
// stay within it.
const maxResidentBytes = 256 << 20

// slotClaimPeriod is the time that the processes have to claim their slots.
// idlePeriod is the time over which their CPU usage is measured after that.
const (
	slotClaimPeriod = 3 * time.Second
	idlePeriod      = 3 * time.Second
)

// resourceUsage is the resident memory and the total CPU time of a process.
type resourceUsage struct {
	residentBytes int
	cpu           time.Duration
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(t *testing.T, pid int) resourceUsage {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	requireNoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(statm))[1])
	requireNoError(t, err)
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	requireNoError(t, err)
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	const userTicks, systemTicks, ticksPerSecond = 11, 12, 100
	user, err := strconv.Atoi(fields[userTicks])
	requireNoError(t, err)
	system, err := strconv.Atoi(fields[systemTicks])
	requireNoError(t, err)
	return resourceUsage{
		residentBytes: pages * os.Getpagesize(),
		cpu:           time.Duration(user+system) * time.Second / ticksPerSecond,
	}
}

// TestIdleProcesses logs the resource usage of idle routers and agents, and checks
// that each stays within the memory limit.
func TestIdleProcesses(t *testing.T) {
	f := startFleet(t, 3, 1)
	f.waitReady(f.routers[0])
	for _, agent := range f.agents {
		f.waitReady(agent)
	}
	processes := append([]*process{f.routers[0]}, f.agents...)
	time.Sleep(slotClaimPeriod)
	before := make([]resourceUsage, len(processes))
	for i, p := range processes {
		before[i] = readUsage(t, p.cmd.Process.Pid)
	}
	time.Sleep(idlePeriod)
	for i, p := range processes {
		after := readUsage(t, p.cmd.Process.Pid)
		t.Logf("idle %s: %.1f MB resident, %.2f%% of a core", p.daemon, float64(after.residentBytes)/1e6,
			100*float64(after.cpu-before[i].cpu)/float64(idlePeriod))
		if after.residentBytes > maxResidentBytes {
			t.Errorf("%s uses %d bytes of memory, more than the limit of %d", p.daemon, after.residentBytes, maxResidentBytes)
		}
	}
}
