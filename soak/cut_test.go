// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// cutForm is how the connections of an entry to endpoints are cut.
type cutForm uint8

// The forms: open connections are reset and new ones too; both hang; open ones live on and new ones are
// reset.
const (
	notCut cutForm = iota
	cutReset
	cutHang
	cutNewOnly
)

func (f cutForm) String() string { return []string{"none", "reset", "hang", "new only"}[f] }

const (
	// cutTries is how many first tries of each kind each entry gets while some are cut off.
	cutTries = 10
	// cutFailuresAllowed and cutFailureShare bound how many first tries may fail at entries that are cut
	// off, and minServedRatio how much less often they may be served there than elsewhere.
	cutFailuresAllowed = 10
	cutFailureShare    = 1.0 / 50
	minServedRatio     = 2.0 / 3
)

// setEntryBehind sets how a proxy finds out which entry a connection is from.
func (p *proxy) setEntryBehind(entryBehind func(accepted net.Conn) *entry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entryBehind = entryBehind
}

// cutOff cuts entries off from all endpoints in one form, or ends that with notCut.
func (tb *testbed) cutOff(form cutForm, entries ...*entry) {
	tb.mutex.Lock()
	for _, e := range entries {
		e.cut = form
	}
	tb.mutex.Unlock()
	began := time.Now()
	for _, p := range tb.allEndpoints() {
		p.link.applyCuts()
	}
	if form == notCut {
		began = time.Now() // what hung is reset only now
	}
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	for _, e := range entries {
		e.cutChanges = append(e.cutChanges, began)
	}
}

// wasCutOff reports whether an entry was cut off from endpoints at any time of a span.
func (tb *testbed) wasCutOff(e *entry, from, to time.Time) bool {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	isCut := false
	for _, at := range e.cutChanges {
		if at.After(to) {
			break
		}
		isCut = !isCut
		if at.After(from) {
			return true
		}
	}
	return isCut
}

// entryBehind returns the entry behind a connection that a proxy accepted, nil if it is not cut off or not
// known.
func (tb *testbed) entryBehind(accepted net.Conn) *entry {
	tb.mutex.Lock()
	var cut []*entry
	for _, e := range tb.entries {
		if e.cut != notCut {
			cut = append(cut, e)
		}
	}
	tb.mutex.Unlock()
	if len(cut) == 0 {
		return nil
	}
	inode := socketInode(accepted.RemoteAddr(), accepted.LocalAddr())
	for _, e := range cut {
		if e.holdsSocket(inode) {
			return e
		}
	}
	return nil
}

// cutForm returns how an entry is cut off. The entry may be nil.
func (e *entry) cutForm() cutForm {
	if e == nil {
		return notCut
	}
	e.testbed.mutex.Lock()
	defer e.testbed.mutex.Unlock()
	return e.cut
}

// socketInode returns the inode of the TCP socket of this host that is connected from one IPv4 address to
// another, "" if there is none. It asks the kernel for the one socket (sock_diag(7)): reading all of them takes
// milliseconds on a host with thousands of closed ones.
func socketInode(local, remote net.Addr) string {
	l, r := addrPort(local), addrPort(remote)
	if !l.IsValid() || !r.IsValid() {
		return ""
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return ""
	}
	defer func() { _ = unix.Close(fd) }()
	const (
		headerBytes  = 16
		requestBytes = 56
		inodeOffset  = headerBytes + 68
		allStates    = 0xffffffff
	)
	m := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(m, uint32(len(m)))
	binary.NativeEndian.PutUint16(m[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(m[6:], unix.NLM_F_REQUEST)
	request := m[headerBytes:]
	request[0], request[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[4:], allStates)
	binary.BigEndian.PutUint16(request[8:], l.Port())
	binary.BigEndian.PutUint16(request[10:], r.Port())
	copy(request[12:], l.Addr().AsSlice())
	copy(request[28:], r.Addr().AsSlice())
	binary.NativeEndian.PutUint64(request[48:], 1<<64-1) // any cookie
	if err := unix.Sendto(fd, m, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return ""
	}
	answer := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil || n < inodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return ""
	}
	return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(answer[inodeOffset:])), 10)
}

// addrPort returns a TCP address over IPv4, an invalid one for any other.
func addrPort(a net.Addr) netip.AddrPort {
	t, ok := a.(*net.TCPAddr)
	if !ok || t.IP.To4() == nil {
		return netip.AddrPort{}
	}
	p := t.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

// holdsSocket reports whether the entry's process holds a socket.
func (e *entry) holdsSocket(inode string) bool {
	e.mutex.Lock()
	p := e.process
	e.mutex.Unlock()
	if p == nil || inode == "" {
		return false
	}
	dir := filepath.Join("/proc", strconv.Itoa(p.Process.Pid), "fd")
	descriptors, err := os.ReadDir(dir)
	if err != nil {
		return false // the process has exited
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(filepath.Join(dir, d.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// applyCuts does to the open connections of a proxy what the cuts of their entries do.
func (p *proxy) applyCuts() {
	p.mutex.Lock()
	entryBehind := p.entryBehind
	open := make(map[net.Conn]net.Conn, len(p.pairs))
	for in, out := range p.pairs {
		open[in] = out
	}
	p.mutex.Unlock()
	for in, out := range open {
		switch entryBehind(in).cutForm() {
		case cutReset:
			abort(in)
			abort(out)
		case cutHang:
			p.hang(in)
		case notCut:
			if p.hangs(in) {
				abort(in)
				abort(out)
			}
		}
	}
}

// hang keeps a connection open without passing anything on, until the cut ends. The bytes of that time are
// lost with the connection.
func (p *proxy) hang(in net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hanging[in] = true
}

func (p *proxy) hangs(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hanging[c]
}

// accepts reports whether a new connection is passed on, and otherwise does what the state of the link says or
// the cut of its entry.
func (p *proxy) accepts(in net.Conn) bool {
	p.mutex.Lock()
	entryBehind, rejects := p.entryBehind, p.state.rejects
	p.mutex.Unlock()
	if rejects {
		abort(in)
		return false
	}
	if entryBehind == nil {
		return true
	}
	e := entryBehind(in)
	switch e.cutForm() {
	case cutReset, cutNewOnly:
		abort(in)
		return false
	case cutHang:
		go (&hangingConn{proxy: p, conn: in, entry: e}).run()
		return false
	default:
		return true
	}
}

// hangingConn is a connection that was accepted during a cut, and that nothing reads.
type hangingConn struct {
	proxy *proxy
	conn  net.Conn
	entry *entry
}

func (h *hangingConn) run() {
	for h.entry.cutForm() == cutHang && !h.proxy.isClosed() {
		time.Sleep(50 * time.Millisecond)
	}
	abort(h.conn)
}

func (p *proxy) isClosed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.closed
}

// cutEntries cuts one, some or all entries off from the endpoints for some time, at times with a kill of one
// that may help.
func (s *series) cutEntries() {
	tb := s.injection.testbed
	form := cutForm(1 + s.rng.IntN(3))
	chosen := s.someEntries(1 + s.rng.IntN(len(tb.entries)))
	s.injection.record(fmt.Sprintf("cut %s off from all endpoints, %s", names(chosen), form))
	tb.cutOff(form, chosen...)
	if helper := s.entry(); s.rng.IntN(2) == 0 && helper.lifecycleMutex.TryLock() {
		s.pause(100, 2000)
		s.injection.record("kill " + helper.name + " during the cut")
		helper.kill()
		helper.start()
		helper.lifecycleMutex.Unlock()
	}
	s.waitFaultDuration()
	tb.cutOff(notCut, chosen...)
}

// someEntries returns a number of random entries.
func (s *series) someEntries(n int) []*entry {
	var chosen []*entry
	for _, i := range s.rng.Perm(len(s.injection.testbed.entries))[:n] {
		chosen = append(chosen, s.injection.testbed.entries[i])
	}
	return chosen
}

func names(entries []*entry) string {
	var all []string
	for _, e := range entries {
		all = append(all, e.name)
	}
	return strings.Join(all, " ")
}

// checkCut cuts entries off, in each form in turn, the last time all but one, and compares how often first
// tries are served there and elsewhere.
func (r *recovery) checkCut() {
	tb := r.testbed
	for i, form := range []cutForm{cutReset, cutHang, cutNewOnly} {
		cut := tb.entries[:min(1+i, len(tb.entries)-1)]
		tb.cutOff(form, cut...)
		time.Sleep(contactTime)
		tries := make(map[bool]int)
		served := make(map[bool]int)
		var failed *call
		for range cutTries {
			for at, e := range tb.entries {
				for _, kind := range kinds {
					isCut := at < len(cut)
					q := r.sendRequest(e, kind, permanentKey)
					tries[isCut]++
					if answered(q) {
						served[isCut]++
					} else if isCut {
						failed = q
					}
				}
			}
		}
		tb.cutOff(notCut, cut...)
		failures := tries[true] - served[true]
		ratio := float64(served[true]) / float64(tries[true]) / (float64(served[false]) / float64(tries[false]))
		if ratio < minServedRatio && float64(failures) > cutFailuresAllowed+cutFailureShare*float64(tries[true]+tries[false]) {
			tb.reportProblem("%s cut off (%s): served %d of %d first tries, the others %d of %d; the last: %s",
				names(cut), form, served[true], tries[true], served[false], tries[false], describe(failed))
		}
	}
}
