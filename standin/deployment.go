// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
)

const (
	loopback       = "127.0.0.1"
	weightsPerSec  = 64 << 20
	initialVersion = 1
)

// Deployment runs everything that pinerun depends on in one process: the platform
// with an initial configuration, the engines, the plain services and the weights store.
type Deployment struct {
	Platform       Platform
	Weights        WeightStore
	Runners        []*Runner
	Services       []*Service
	CallCounters   map[string]*CallCounter // by service name
	ExecutionLog   ExecutionLog
	EphemeralPorts bool // listen on free ports instead of those in the settings

	crashTrigger crashTrigger
}

// Start starts all servers and writes the initial configuration to the platform.
func (d *Deployment) Start(s settings.Standin) error {
	if err := d.Platform.Listen(d.address(s.Platform)); err != nil {
		return err
	}
	if s.Weights != "" {
		d.Weights.BytesPerSecond = weightsPerSec
		if err := d.Weights.Listen(d.address(s.Weights)); err != nil {
			return err
		}
	}
	c := &configuration{platform: &d.Platform}
	if err := d.startRunners(s, c); err != nil {
		return err
	}
	if err := d.startServices(s, c); err != nil {
		return err
	}
	for _, t := range s.Teams {
		c.addPart(protocol.TeamPart, t.Name, protocol.Team{
			Name: t.Name, KeyHashes: []string{protocol.HashKey(t.Key)}, Share: t.Share, Priority: t.Priority, MaxOpen: t.MaxOpen,
		})
	}
	for _, o := range append([]settings.OperatorKey{s.Operator}, s.OtherOperators...) {
		c.addPart(protocol.OperatorPart, o.Name, protocol.Operator{
			Name: o.Name, KeyHash: protocol.HashKey(o.Key), Role: cmp.Or(o.Role, "editor"),
		})
	}
	return c.writeManifest()
}

// address returns the configured address, or one with port 0 if EphemeralPorts is set.
func (d *Deployment) address(configured string) string {
	if d.EphemeralPorts {
		return net.JoinHostPort(loopback, "0")
	}
	return configured
}

func (d *Deployment) startRunners(s settings.Standin, c *configuration) error {
	layers := map[string]int{}
	for _, m := range s.Models {
		layers[m.Name] = m.Layers
		c.addPart(protocol.ModelPart, m.Name, m)
	}
	fleets := map[string]*protocol.Fleet{}
	for _, g := range s.Runners {
		for i := range g.Count {
			r, err := d.startRunner(g, i, layers[g.Model])
			if err != nil {
				return err
			}
			if fleets[g.DataCenter] == nil {
				fleets[g.DataCenter] = &protocol.Fleet{Name: g.DataCenter}
			}
			f := fleets[g.DataCenter]
			f.Runners = append(f.Runners, r.Spec)
		}
	}
	for name, f := range fleets {
		c.addPart(protocol.FleetPart, name, f)
	}
	return nil
}

func (d *Deployment) startRunner(g settings.RunnerGroup, i, layers int) (*Runner, error) {
	name := g.Name + strconv.Itoa(i+1)
	r := &Runner{
		Layers: layers, ExecutionLog: &d.ExecutionLog, Unfenced: i%2 == 1, crashTrigger: &d.crashTrigger,
		Spec: protocol.Runner{
			Name: name, VM: "vm-" + name, DataCenter: g.DataCenter, Accelerator: g.Accelerator,
			Model: g.Model, From: g.From, To: g.To, Epoch: initialVersion, Speed: g.Speed, Link: g.Link,
		},
	}
	if err := r.Listen(d.address(net.JoinHostPort(loopback, strconv.Itoa(g.FirstPort+i)))); err != nil {
		return nil, err
	}
	r.Spec.Address = r.Address()
	d.Runners = append(d.Runners, r)
	d.Platform.SetVM(protocol.VM{Name: r.Spec.VM, DataCenter: r.Spec.DataCenter})
	return r, nil
}

func (d *Deployment) startServices(s settings.Standin, c *configuration) error {
	d.CallCounters = map[string]*CallCounter{}
	for _, v := range s.Services {
		counter := &CallCounter{}
		d.CallCounters[v.Name] = counter
		for i := range v.Endpoints {
			e := &Service{Name: v.Endpoints[i].Name, Calls: counter}
			if err := e.Listen(d.address(v.Endpoints[i].Address)); err != nil {
				return err
			}
			v.Endpoints[i].Address = e.Address()
			d.Services = append(d.Services, e)
		}
		c.addPart(protocol.ServicePart, v.Name, v)
	}
	for _, v := range s.ExternalServices {
		c.addPart(protocol.ServicePart, v.Name, v)
	}
	return nil
}

// Close stops all servers, including engines that restarted after a crash.
func (d *Deployment) Close() {
	d.crashTrigger.close()
	for _, r := range d.Runners {
		r.Close()
	}
	for _, s := range d.Services {
		s.Close()
	}
	d.Platform.Close()
	d.Weights.Close()
}

// configuration writes configuration parts and the first manifest directly to the
// stand-in platform, as the operators' own tools do before pinerun starts.
type configuration struct {
	platform *Platform
	parts    []protocol.PartRef
	err      error
}

func (c *configuration) addPart(k protocol.PartKind, name string, part any) {
	content, err := json.Marshal(part)
	if err != nil {
		c.err = err
		return
	}
	hash := protocol.HashPart(content)
	c.platform.put(objectKey{kind: protocol.ObjectPart, name: hash}, 0, content)
	c.parts = append(c.parts, protocol.PartRef{Kind: k, Name: name, Hash: hash})
}

func (c *configuration) writeManifest() error {
	if c.err != nil {
		return fmt.Errorf("write the initial configuration: %w", c.err)
	}
	content, err := json.Marshal(protocol.Manifest{Version: initialVersion, Plan: "first", Author: "standin", Parts: c.parts})
	if err != nil {
		return err
	}
	c.platform.put(objectKey{kind: protocol.ObjectManifest, name: protocol.ManifestName}, 0, content)
	return nil
}
