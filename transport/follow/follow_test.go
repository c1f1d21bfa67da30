// SPDX-License-Identifier: Apache-2.0

package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/standin"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/transport/follow"
	"pinerun.example/pinerun/transport/peer"
	"pinerun.example/pinerun/transport/platform"
)

// node is the part of an entry that handles configurations: a mesh and a follower.
type node struct {
	mesh        peer.Mesh
	follower    follow.Follower
	counters    metric.Set
	server      *httptest.Server
	mutex       sync.Mutex
	activatedAt map[uint64]time.Time
	versions    []uint64
}

func (n *node) HandleFrame(from string, f *protocol.PeerFrame) { n.follower.HandleFrame(from, f) }
func (n *node) Heartbeat() protocol.PeerHeartbeat {
	return protocol.PeerHeartbeat{Version: n.follower.Version()}
}
func (n *node) UnresolvedWork() []protocol.WorkReport { return nil }

func (n *node) inForce(c *config.Config) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.activatedAt[c.Version()] = time.Now()
	n.versions = append(n.versions, c.Version())
}

// activationTime returns when a version came into force, and whether it did.
func (n *node) activationTime(version uint64) (time.Time, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	at, ok := n.activatedAt[version]
	return at, ok
}

// isMonotonic reports whether the versions in force never decreased.
func (n *node) isMonotonic() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.IsSorted(n.versions)
}

// cluster is a platform and its nodes.
type cluster struct {
	platform standin.Platform
	client   platform.Client
	nodes    []*node
	members  []protocol.Member
	manifest protocol.Revision // platform version of the manifest
	teams    map[string]protocol.PartRef
	version  uint64
}

func newCluster(t testing.TB, teams int) *cluster {
	c := &cluster{teams: map[string]protocol.PartRef{}}
	require.NoError(t, c.platform.Listen("127.0.0.1:0"))
	c.platform.Unlimited = true // writing the first parts is not part of the measurement
	c.client.Base = "http://" + c.platform.Address()
	for i := range teams {
		c.putTeam(t, fmt.Sprint("team-", i), 1)
	}
	c.publish(t)
	c.platform.Unlimited = false
	return c
}

// putTeam writes the part of a team, for the next manifest.
func (c *cluster) putTeam(t testing.TB, name string, share float64) {
	team := protocol.Team{Name: name, KeyHashes: []string{protocol.HashKey(name)}, Share: share, MaxOpen: 1}
	content, err := json.Marshal(team)
	require.NoError(t, err)
	hash := protocol.HashPart(content)
	_, err = c.client.Put(context.Background(), protocol.ObjectPart, hash, protocol.Revision{}, content)
	require.NoError(t, err)
	c.teams[name] = protocol.PartRef{Kind: protocol.TeamPart, Name: name, Hash: hash}
}

// publish writes a manifest with the next version.
func (c *cluster) publish(t testing.TB) {
	c.version++
	m := protocol.Manifest{Version: c.version}
	for _, ref := range c.teams {
		m.Parts = append(m.Parts, ref)
	}
	content, err := json.Marshal(m)
	require.NoError(t, err)
	c.manifest, err = c.client.Put(context.Background(), protocol.ObjectManifest, protocol.ManifestName, c.manifest, content)
	require.NoError(t, err)
}

// add creates a node. All nodes know each other from the start, as they would from the platform's
// list of entries.
func (c *cluster) add(i, dataCenters, loseOneIn int) *node {
	n := &node{activatedAt: map[uint64]time.Time{}}
	routes := http.NewServeMux()
	routes.Handle(peer.Path, &n.mesh)
	n.server = httptest.NewServer(routes)
	n.mesh.Self = protocol.Member{
		Name: fmt.Sprint("entry-", i), DataCenter: fmt.Sprint("dc-", i%dataCenters),
		Address: n.server.Listener.Addr().String(), Incarnation: 1,
	}
	n.mesh.Key, n.mesh.Handler, n.mesh.Counters = "a key that all nodes share", n, &n.counters
	if loseOneIn > 0 {
		n.mesh.DropFrame = func() bool { return rand.IntN(loseOneIn) == 0 }
	}
	n.follower.Platform = &platform.Client{Base: c.client.Base, Counters: &n.counters}
	n.follower.Mesh, n.follower.Counters, n.follower.OnVersion = &n.mesh, &n.counters, n.inForce
	c.nodes = append(c.nodes, n)
	c.members = append(c.members, n.mesh.Self)
	return n
}

func (c *cluster) start() {
	for _, n := range c.nodes {
		n.mesh.Learn(c.members)
	}
	for _, n := range c.nodes {
		n.mesh.Start()
		n.follower.Start()
	}
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.follower.Close()
		n.mesh.Close()
		n.server.CloseClientConnections()
		n.server.Close()
	}
	c.platform.Close()
}

// await waits until every node has a version in force.
func (c *cluster) await(t testing.TB, version uint64) {
	for _, n := range c.nodes {
		require.Eventually(t, func() bool { return n.follower.Version() >= version }, 20*time.Second, time.Millisecond)
	}
}

// TestNodesConvergeAndVersionsNeverDecrease changes the configuration many times while one message
// in five is lost.
func TestNodesConvergeAndVersionsNeverDecrease(t *testing.T) {
	c := newCluster(t, 20)
	defer c.close()
	for i := range 15 {
		c.add(i, 3, 5)
	}
	c.start()
	for i := range 10 {
		c.putTeam(t, fmt.Sprint("team-", i), float64(i+2))
		c.publish(t)
	}
	c.await(t, c.version)
	for _, n := range c.nodes {
		require.True(t, n.isMonotonic())
		team, ok := n.follower.Current().TeamByKey("team-9")
		require.True(t, ok)
		require.InDelta(t, 11, team.Share, 0)
	}
}

// TestNewNodeStartsFromPeersInOutage starts a node during an outage of the platform. The node gets
// the configuration from its peers, and does not return to an older version after the outage.
func TestNewNodeStartsFromPeersInOutage(t *testing.T) {
	c := newCluster(t, 3)
	defer c.close()
	c.add(0, 1, 0)
	c.start()
	c.await(t, c.version)
	c.platform.SetFaults(standin.Faults{Down: true})
	n := c.add(1, 1, 0)
	n.mesh.Learn(c.members)
	n.mesh.Start()
	n.follower.Start()
	c.await(t, c.version)
	c.platform.SetFaults(standin.Faults{})
	c.putTeam(t, "late", 1)
	c.publish(t)
	c.await(t, c.version)
	require.True(t, n.isMonotonic())
}

// TestInvalidConfigurationIsIgnored checks that a manifest with a missing part, one with a wrong
// hash and one that is not JSON do not replace the configuration in force.
func TestInvalidConfigurationIsIgnored(t *testing.T) {
	c := newCluster(t, 2)
	defer c.close()
	n := c.add(0, 1, 0)
	c.start()
	c.await(t, 1)
	for i, content := range []string{
		`{"version": 2, "parts": [{"kind": "team", "name": "x", "hash": "absent"}]}`,
		`{"version": 3, "parts": [{"kind": "tree", "name": "x", "hash": "` + c.teams["team-0"].Hash + `"}]}`,
		`not json`,
	} {
		var err error
		c.manifest, err = c.client.Put(context.Background(), protocol.ObjectManifest, protocol.ManifestName, c.manifest, []byte(content))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return n.counters.Value(string(metric.ConfigIgnored)) == int64(i+1) }, 20*time.Second, time.Millisecond)
		require.Equal(t, uint64(1), n.follower.Version())
	}
	c.version = 4
	c.publish(t)
	c.await(t, 5)
}

// BenchmarkSpread measures how long an accepted change takes to be in force at every entry of nine
// data centers with 700 teams, with one message in a hundred lost, and what that costs.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range []int{8, 40, 120, 380} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			c := newCluster(b, 700)
			defer c.close()
			for i := range entries {
				c.add(i, 9, 100)
			}
			c.start()
			c.await(b, 1)
			time.Sleep(3 * time.Second) // until the links are stable
			reads, bytes := c.platform.Calls().Reads, c.peerBytes()
			var spread []float64
			for b.Loop() {
				c.putTeam(b, "team-0", float64(c.version+1))
				c.publish(b)
				at := time.Now()
				c.await(b, c.version)
				for _, n := range c.nodes {
					seen, _ := n.activationTime(c.version)
					spread = append(spread, max(0, seen.Sub(at).Seconds()*1000))
				}
			}
			idleFrom, idleReads, idleBytes := time.Now(), c.platform.Calls().Reads, c.peerBytes()
			time.Sleep(5 * time.Second)
			idle := time.Since(idleFrom).Seconds()
			changes := float64(c.version - 1)
			slices.Sort(spread)
			b.ReportMetric(spread[len(spread)/2], "p50-ms")
			b.ReportMetric(spread[len(spread)*99/100], "p99-ms")
			b.ReportMetric(spread[len(spread)-1], "max-ms")
			b.ReportMetric(float64(idleReads-reads)/changes, "reads/change")
			b.ReportMetric(float64(c.platform.Calls().Reads-idleReads)/idle, "reads/s-idle")
			b.ReportMetric((c.peerBytes()-idleBytes)/idle/float64(entries), "B/s/entry-idle")
			b.ReportMetric((idleBytes-bytes)/changes/float64(entries), "B/change/entry")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(entries), "goroutines/entry")
		})
	}
}

func (c *cluster) peerBytes() float64 {
	total := int64(0)
	for _, n := range c.nodes {
		total += n.counters.Value(string(metric.PeerBytes))
	}
	return float64(total)
}
