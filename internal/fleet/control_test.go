package fleet

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// idleDeployment returns a deployment with the given number of instances and groups, spread over three data centres.
func idleDeployment(instances, groups int) *Deployment {
	c := conf.New()
	centers := []ident.CenterID{"a", "b", "c"}
	counts := map[ident.CenterID]int{}
	for at, id := range centers {
		c.Centers[id] = conf.Center{Part: 1}
		counts[id] = (instances + 2 - at) / 3
	}
	c.Customers["load"] = conf.Customer{Rate: 1e6, Burst: 1e6, Weight: 1}
	for at := range groups {
		name := fmt.Sprintf("g%03d", at)
		g := conf.Group{Connections: 24, Slots: 8}
		for n, center := range centers {
			g.Servers = append(g.Servers, conf.Server{ID: ident.ServerID(fmt.Sprintf("%s-%d", name, n)), Center: center, Address: loopback})
		}
		c.Groups[ident.GroupID(name)] = g
		c.Services[ident.ServiceID(name)] = conf.Service{Group: ident.GroupID(name)}
	}
	return &Deployment{Name: "spread", Config: c, Instances: counts}
}

// BenchmarkIdleFleet measures the cost of a fleet without load: CPU, traffic between
// instances, platform calls and memory. The stand-ins run in the same process, so their
// CPU and memory are measured first, without instances, and subtracted.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []struct{ instances, groups int }{{6, 3}, {12, 3}, {24, 3}, {48, 3}, {96, 3}, {6, 12}, {6, 24}} {
		b.Run(fmt.Sprintf("%d-instances-%d-groups", size.instances, size.groups), func(b *testing.B) {
			for b.Loop() {
				standIns := idleCost(b, size.instances, size.groups, true)
				total := idleCost(b, size.instances, size.groups, false)
				n := float64(size.instances)
				b.ReportMetric((total.cpu-standIns.cpu)*100/n, "cpu%/instance")
				b.ReportMetric(total.bytes/n, "peer-B/s/instance")
				b.ReportMetric(total.reads, "platform-reads/s")
				b.ReportMetric(total.writes, "platform-writes/s")
				b.ReportMetric((total.memory-standIns.memory)/n/1024, "KiB/instance")
			}
		})
	}
}

// cost is what a fleet uses: cpu in cores, bytes, reads and writes per second, memory in bytes.
type cost struct{ cpu, bytes, reads, writes, memory float64 }

const idleMeasureTime = 4 * time.Second

func idleCost(b *testing.B, instances, groups int, skipReadyWait bool) cost {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := idleDeployment(instances, groups)
	if skipReadyWait {
		d.Instances = nil
	}
	before := memoryInUse()
	f, err := Start(ctx, Config{Deployment: d, Seed: 1, DirectDial: true, SkipReadyWait: skipReadyWait})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	time.Sleep(3 * time.Second)
	calls, cpuBefore, sent := f.Platform.Calls(), cpu(), peerBytes(b, f)
	time.Sleep(idleMeasureTime)
	after := f.Platform.Calls()
	seconds := idleMeasureTime.Seconds()
	runtime.GC()
	return cost{
		cpu: (cpu() - cpuBefore).Seconds() / seconds, bytes: (peerBytes(b, f) - sent) / seconds,
		reads:  float64(after.Reads-calls.Reads+after.Watches-calls.Watches) / seconds,
		writes: float64(after.Writes-calls.Writes) / seconds, memory: float64(memoryInUse()) - float64(before),
	}
}

func peerBytes(b *testing.B, f *Fleet) float64 {
	b.Helper()
	total := 0.0
	for _, m := range f.Members() {
		families, err := m.Registry.Gather()
		if err != nil {
			b.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() == "geraniumseam_peer_bytes_out_total" {
				total += family.GetMetric()[0].GetCounter().GetValue()
			}
		}
	}
	return total
}
