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

// Deployment is everything outside pinerun in one process: the platform with a
// first configuration, the engines, the plain services and the weights store.
type Deployment struct {
	Platform       Platform
	Weights        WeightStore
	Runners        []*Runner
	Services       []*Service
	CallCounters   map[string]*CallCounter // by service
	ExecutionLog   ExecutionLog
	EphemeralPorts bool // ignore the ports of the settings

	ends ends
}

// Start opens everything and writes the configuration into the platform.
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
		c.add(protocol.TeamPart, t.Name, protocol.Team{
			Name: t.Name, KeyHashes: []string{protocol.HashKey(t.Key)}, Share: t.Share, Priority: t.Priority, MaxOpen: t.MaxOpen,
		})
	}
	for _, o := range append([]settings.OperatorKey{s.Operator}, s.OtherOperators...) {
		c.add(protocol.OperatorPart, o.Name, protocol.Operator{
			Name: o.Name, KeyHash: protocol.HashKey(o.Key), Role: cmp.Or(o.Role, "editor"),
		})
	}
	return c.accept()
}

// address replaces the port by 0 when any port will do.
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
		c.add(protocol.ModelPart, m.Name, m)
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
		c.add(protocol.FleetPart, name, f)
	}
	return nil
}

func (d *Deployment) startRunner(g settings.RunnerGroup, i, layers int) (*Runner, error) {
	name := g.Name + strconv.Itoa(i+1)
	r := &Runner{
		Layers: layers, ExecutionLog: &d.ExecutionLog, Unfenced: i%2 == 1, ends: &d.ends,
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
		book := &CallCounter{}
		d.CallCounters[v.Name] = book
		for i := range v.Endpoints {
			e := &Service{Name: v.Endpoints[i].Name, Calls: book}
			if err := e.Listen(d.address(v.Endpoints[i].Address)); err != nil {
				return err
			}
			v.Endpoints[i].Address = e.Address()
			d.Services = append(d.Services, e)
		}
		c.add(protocol.ServicePart, v.Name, v)
	}
	for _, v := range s.ExternalServices {
		c.add(protocol.ServicePart, v.Name, v)
	}
	return nil
}

// Close ends everything.
func (d *Deployment) Close() {
	d.ends.close()
	for _, r := range d.Runners {
		r.Close()
	}
	for _, s := range d.Services {
		s.Close()
	}
	d.Platform.Close()
	d.Weights.Close()
}

// configuration writes parts and the first manifest straight into the stand-in
// platform, as the operators' own tools do before pinerun starts.
type configuration struct {
	platform *Platform
	parts    []protocol.PartRef
	err      error
}

func (c *configuration) add(k protocol.PartKind, name string, part any) {
	content, err := json.Marshal(part)
	if err != nil {
		c.err = err
		return
	}
	hash := protocol.HashPart(content)
	c.platform.put(objectKey{kind: protocol.ObjectPart, name: hash}, 0, content)
	c.parts = append(c.parts, protocol.PartRef{Kind: k, Name: name, Hash: hash})
}

func (c *configuration) accept() error {
	if c.err != nil {
		return fmt.Errorf("write the first configuration: %w", c.err)
	}
	content, err := json.Marshal(protocol.Manifest{Version: initialVersion, Plan: "first", Author: "standin", Parts: c.parts})
	if err != nil {
		return err
	}
	c.platform.put(objectKey{kind: protocol.ObjectManifest, name: protocol.ManifestName}, 0, content)
	return nil
}
