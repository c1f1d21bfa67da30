// SPDX-License-Identifier: Apache-2.0

package command

import (
	"strconv"
	"time"

	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/standin"
)

const (
	demoService = "cards"
	demoModel   = "fares"
	demoLayers  = 24
	demoStages  = 4
	demoTeams   = 10
	// Speeds of the three accelerator kinds, in layer passes a second.
	demoFast   = 4800
	demoMiddle = 2400
	demoSlow   = 1200
)

func demoKeys() []string {
	keys := make([]string, demoTeams)
	for i := range keys {
		keys[i] = "demo-team-" + strconv.Itoa(i+1)
	}
	return keys
}

// demoDeployment is forty runners of three kinds in three data centers, each
// stage on ten of them, and three endpoints of a plain service.
func demoDeployment() settings.Standin {
	s := settings.Standin{
		Platform: "127.0.0.1:0", Weights: "127.0.0.1:0",
		Models:   []protocol.Model{{Name: demoModel, Version: "1", Layers: demoLayers, MaxOpen: 600, Context: 4096}},
		Operator: settings.OperatorKey{Name: "clerk", Key: "demo-operator"},
		Services: []protocol.Service{{Name: demoService}},
	}
	for stage := range demoStages {
		from := stage * demoLayers / demoStages
		to := (stage + 1) * demoLayers / demoStages
		for _, g := range []settings.RunnerGroup{
			{Name: "fast", Count: 3, DataCenter: "dc-a", Accelerator: "a", Speed: demoFast},
			{Name: "middle", Count: 4, DataCenter: "dc-b", Accelerator: "b", Speed: demoMiddle},
			{Name: "slow", Count: 3, DataCenter: "dc-c", Accelerator: "c", Speed: demoSlow},
		} {
			g.Name += strconv.Itoa(stage+1) + "-"
			g.Model, g.From, g.To = demoModel, from, to
			s.Runners = append(s.Runners, g)
		}
	}
	for i := range 3 {
		name := demoService + "-" + strconv.Itoa(i+1)
		s.Services[0].Endpoints = append(s.Services[0].Endpoints, protocol.ServiceEndpoint{
			Name: name, VM: "vm-" + name, DataCenter: "dc-a", Address: "127.0.0.1:0",
		})
	}
	for i, key := range demoKeys() {
		share := 1.0
		if i < 3 {
			share = 4 // a few large teams
		}
		s.Teams = append(s.Teams, settings.Team{Name: "team-" + strconv.Itoa(i+1), Key: key, Share: share, Priority: 1, MaxOpen: 600})
	}
	return s
}

// demoFaults makes things fail while the load runs: one runner in ten dies, two
// at a time in the middle; replies are spoilt; a runner turns twenty times
// slower; the platform goes down, comes back slow and loses answers.
type demoFaults struct {
	demo  *demo
	began time.Time
	ends  time.Time // of the load, if it is offered as planned
	done  lifecycle.Done
}

func (f *demoFaults) run() {
	defer f.done.Close()
	outside := &f.demo.outside
	f.after(0.10)
	outside.Runners[12].Break(standin.Mangle{Double: 4, Delay: 20})
	outside.Runners[23].Break(standin.Mangle{Drop: 50, WrongSpan: 60})
	outside.Runners[34].Break(standin.Mangle{WrongPosition: 60, Truncate: 20})
	f.after(0.10)
	outside.Platform.Fail(standin.Faults{Down: true})
	f.kill(0)
	f.after(0.15)
	outside.Runners[15].Slow(20)
	f.kill(13, 29)
	outside.Platform.Fail(standin.Faults{Slow: 20 * time.Millisecond, LoseAnswer: 4})
	f.after(0.15)
	outside.Runners[39].Vanish()
	f.demo.note(time.Now())
	f.after(0.15)
	outside.Platform.Fail(standin.Faults{})
	for _, i := range []int{12, 23, 34} {
		outside.Runners[i].Break(standin.Mangle{})
	}
	outside.Runners[15].Slow(1)
}

// after waits for a part of the run.
func (f *demoFaults) after(portion float64) {
	time.Sleep(time.Duration(portion * float64(f.ends.Sub(f.began))))
}

func (f *demoFaults) kill(runners ...int) {
	for _, i := range runners {
		f.demo.outside.Runners[i].Close()
	}
	f.demo.note(time.Now())
}
