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
	// Speeds of the three kinds of accelerator, in layer passes per second.
	demoFastSpeed   = 4800
	demoMediumSpeed = 2400
	demoSlowSpeed   = 1200
)

// demoKeys returns the API key of each team.
func demoKeys() []string {
	keys := make([]string, demoTeams)
	for i := range keys {
		keys[i] = "demo-team-" + strconv.Itoa(i+1)
	}
	return keys
}

// demoDeployment describes forty runners with three kinds of accelerator in three data
// centers, ten for each stage of the model, and three endpoints of a plain service.
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
			{Name: "fast", Count: 3, DataCenter: "dc-a", Accelerator: "a", Speed: demoFastSpeed},
			{Name: "middle", Count: 4, DataCenter: "dc-b", Accelerator: "b", Speed: demoMediumSpeed},
			{Name: "slow", Count: 3, DataCenter: "dc-c", Accelerator: "c", Speed: demoSlowSpeed},
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
			share = 4 // three large teams
		}
		s.Teams = append(s.Teams, settings.Team{Name: "team-" + strconv.Itoa(i+1), Key: key, Share: share, Priority: 1, MaxOpen: 600})
	}
	return s
}

// faultSchedule injects faults while the load runs. One runner in ten fails: three are
// closed, two of these at the same time, and one acts as if its VM lost power. Three runners
// corrupt, duplicate, delay or drop replies, and one becomes twenty times slower. The
// platform goes down, comes back slow and loses answers.
type faultSchedule struct {
	demo      *demo
	startTime time.Time
	endTime   time.Time // expected end of the load at the planned rate
	done      lifecycle.Done
}

// run injects the faults in order and closes done.
func (f *faultSchedule) run() {
	defer f.done.Close()
	deployment := &f.demo.deployment
	f.waitFraction(0.10)
	deployment.Runners[12].SetReplyFaults(standin.ReplyFaults{Duplicate: 4, Delay: 20})
	deployment.Runners[23].SetReplyFaults(standin.ReplyFaults{Drop: 50, WrongSpan: 60})
	deployment.Runners[34].SetReplyFaults(standin.ReplyFaults{WrongPosition: 60, Truncate: 20})
	f.waitFraction(0.10)
	deployment.Platform.SetFaults(standin.Faults{Down: true})
	f.killRunners(0)
	f.waitFraction(0.15)
	deployment.Runners[15].SetSlowdown(20)
	f.killRunners(13, 29)
	deployment.Platform.SetFaults(standin.Faults{Delay: 20 * time.Millisecond, LoseWriteResponses: 4})
	f.waitFraction(0.15)
	deployment.Runners[39].PowerOff()
	f.demo.recordBounds(time.Now())
	f.waitFraction(0.15)
	deployment.Platform.SetFaults(standin.Faults{})
	for _, i := range []int{12, 23, 34} {
		deployment.Runners[i].SetReplyFaults(standin.ReplyFaults{})
	}
	deployment.Runners[15].SetSlowdown(1)
}

// waitFraction sleeps for a fraction of the load's expected duration.
func (f *faultSchedule) waitFraction(fraction float64) {
	time.Sleep(time.Duration(fraction * float64(f.endTime.Sub(f.startTime))))
}

// killRunners closes the runners with these indexes and records the new bounds.
func (f *faultSchedule) killRunners(indexes ...int) {
	for _, i := range indexes {
		f.demo.deployment.Runners[i].Close()
	}
	f.demo.recordBounds(time.Now())
}
