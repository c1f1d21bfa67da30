// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/coordination/plan"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	roleEditor = "editor"
	// confirmTries bounds the calls of one confirmation.
	confirmTries = 20
	confirmPause = 100 * time.Millisecond
	// inForceWithin is how long a confirmation waits for the entries.
	inForceWithin = 4 * time.Second
	inForceLook   = 20 * time.Millisecond
)

// auditKind is the kind of objects that hold the plans ended on a day.
func auditKind(at time.Time) string { return "audit-" + at.UTC().Format("20060102") }

// serveIntent makes a plan and keeps it in the platform.
func (e *Entry) serveIntent(c echo.Context, o protocol.Operator) error {
	if err := mustEdit(o); err != nil {
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, e.Settings.Limits.BodyBytes))
	if err != nil {
		return protocol.Refuse(protocol.BodyTooLarge, "the intent is too long")
	}
	ctx := c.Request().Context()
	// A plan is best made from the newest version; without the platform it is
	// refused a moment later anyway, for it can't be kept.
	_ = e.follower.Refresh(ctx)
	p, err := plan.Make(e.follower.Current(), body, o.Name, newPlanID(), time.Now().UTC())
	if err != nil {
		return err
	}
	if _, err := e.writePlan(ctx, protocol.ObjectPlan, p, 0); err != nil {
		return platformRefusal(err)
	}
	return c.JSON(http.StatusOK, p)
}

func newPlanID() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails, says crypto/rand
	return "p-" + hex.EncodeToString(b[:])
}

func mustEdit(o protocol.Operator) error {
	if o.Role != roleEditor {
		return protocol.Refuse(protocol.WrongRole, "operator "+o.Name+" has the role "+o.Role+"; changes need "+roleEditor)
	}
	return nil
}

func platformRefusal(err error) error {
	var known *protocol.Refusal
	if errors.As(err, &known) {
		return err
	}
	return protocol.Refuse(protocol.PlatformDown, "the platform does not answer").Because(err).Again(time.Now().Add(time.Second))
}

func (e *Entry) writePlan(ctx context.Context, kind string, p *plan.Plan, known uint64) (uint64, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return 0, err
	}
	if len(value) > protocol.MaxObjectBytes {
		return 0, protocol.Refuse(protocol.BodyTooLarge, "the plan is larger than the platform holds; change fewer parts at once")
	}
	return e.platform.Put(ctx, kind, p.ID, known, value)
}

// readPlan returns a plan and its object's version.
func (e *Entry) readPlan(ctx context.Context, id string) (*plan.Plan, uint64, error) {
	o, err := e.platform.Get(ctx, protocol.ObjectPlan, id)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		return nil, 0, protocol.Refuse(protocol.UnknownPlan, "there is no open plan "+id)
	}
	if err != nil {
		return nil, 0, err
	}
	var p plan.Plan
	if err := json.Unmarshal(o.Value, &p); err != nil || p.ID != id {
		return nil, 0, protocol.Refuse(protocol.UnknownPlan, "the object of plan "+id+" is not a plan").Because(err)
	}
	return &p, o.Version, nil
}

func (e *Entry) servePlan(c echo.Context, _ protocol.Operator) error {
	p, _, err := e.readPlan(c.Request().Context(), c.Param("id"))
	if err != nil {
		return platformRefusal(err)
	}
	return c.JSON(http.StatusOK, p)
}

// servePlans lists the open plans, or those ended on a day (?day=20060102).
func (e *Entry) servePlans(c echo.Context, _ protocol.Operator) error {
	kind := protocol.ObjectPlan
	if day := c.QueryParam("day"); day != "" {
		at, err := time.Parse("20060102", day)
		if err != nil {
			return protocol.Refuse(protocol.MalformedRequest, "day must be like 20261202")
		}
		kind = auditKind(at)
	}
	objects, err := e.platform.List(c.Request().Context(), kind)
	if err != nil {
		return platformRefusal(err)
	}
	plans := make([]plan.Plan, 0, len(objects))
	for _, o := range objects {
		var p plan.Plan
		if json.Unmarshal(o.Value, &p) == nil && p.ID == o.Name {
			plans = append(plans, p)
		}
	}
	return c.JSON(http.StatusOK, plans)
}

func (e *Entry) serveWithdraw(c echo.Context, o protocol.Operator) error {
	if err := mustEdit(o); err != nil {
		return err
	}
	ctx := c.Request().Context()
	p, version, err := e.readPlan(ctx, c.Param("id"))
	if err != nil {
		return platformRefusal(err)
	}
	p.State, p.EndedBy = plan.Withdrawn, o.Name
	// The open plan is marked first, so that no confirmation can follow.
	if version, err = e.writePlan(ctx, protocol.ObjectPlan, p, version); err != nil {
		return platformRefusal(err)
	}
	e.endPlan(ctx, p, version)
	return c.JSON(http.StatusOK, p)
}

// endPlan moves a plan to the day's audit trail.
func (e *Entry) endPlan(ctx context.Context, p *plan.Plan, version uint64) {
	_, err := e.writePlan(ctx, auditKind(time.Now()), p, 0)
	var exists *platform.Conflict
	if err == nil || errors.As(err, &exists) {
		_ = e.platform.Delete(ctx, protocol.ObjectPlan, p.ID, version)
	}
}

// serveConfirm accepts a plan. It may be repeated: a plan is accepted once.
func (e *Entry) serveConfirm(c echo.Context, o protocol.Operator) error {
	if err := mustEdit(o); err != nil {
		return err
	}
	ctx := c.Request().Context()
	version, err := e.confirm(ctx, c.Param("id"), o)
	if err != nil {
		return platformRefusal(err)
	}
	return c.JSON(http.StatusOK, struct {
		Plan    string        `json:"plan"`
		Version uint64        `json:"version"`
		InForce []peerVersion `json:"in_force"`
	}{c.Param("id"), version, e.awaitInForce(ctx, version)})
}

// confirm accepts a plan, or finds that it was accepted before.
func (e *Entry) confirm(ctx context.Context, id string, o protocol.Operator) (uint64, error) {
	for try := 0; ; try++ {
		version, done, err := e.tryConfirm(ctx, id, o)
		if done || err != nil && !worthAnotherTry(err) || try >= confirmTries {
			return version, err
		}
		select {
		case <-time.After(confirmPause):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// worthAnotherTry reports whether an error may pass by itself. Reading the
// manifest anew settles what a lost answer or a conflict meant.
func worthAnotherTry(err error) bool {
	var refusal *protocol.Refusal
	return !errors.As(err, &refusal)
}

func (e *Entry) tryConfirm(ctx context.Context, id string, o protocol.Operator) (version uint64, done bool, err error) {
	current, err := e.platform.Get(ctx, protocol.ObjectManifest, protocol.ManifestName)
	if err != nil {
		return 0, false, err
	}
	var m protocol.Manifest
	if err := json.Unmarshal(current.Value, &m); err != nil {
		return 0, false, protocol.Refuse(protocol.StalePlan, "the manifest in the platform is broken").Because(err)
	}
	if version, ok := plan.Accepted(m, id); ok {
		e.finishPlan(ctx, id, version, o)
		return version, true, nil
	}
	p, _, err := e.readPlan(ctx, id)
	if err != nil {
		return 0, false, err
	}
	next, err := p.Next(m, time.Now())
	if err != nil {
		return 0, false, err
	}
	if err := e.writeParts(ctx, p); err != nil {
		return 0, false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, false, err
	}
	if len(value) > protocol.MaxObjectBytes {
		return 0, false, protocol.Refuse(protocol.BodyTooLarge, "the manifest would be larger than the platform holds")
	}
	if _, err := e.platform.Put(ctx, protocol.ObjectManifest, protocol.ManifestName, current.Version, value); err != nil {
		return 0, false, err
	}
	event.PlanConfirmed.Log(e.Logger, slog.String("plan", id), slog.String("operator", o.Name), slog.Uint64("version", next.Version))
	_ = e.follower.Refresh(ctx)
	e.finishPlan(ctx, id, next.Version, o)
	return next.Version, true, nil
}

// writeParts stores the plan's parts under their hashes. One that is there has
// the same content.
func (e *Entry) writeParts(ctx context.Context, p *plan.Plan) error {
	for _, x := range p.Changes {
		if x.Remove {
			continue
		}
		_, err := e.platform.Put(ctx, protocol.ObjectPart, x.Ref.Hash, 0, x.Content)
		var exists *platform.Conflict
		if err != nil && !errors.As(err, &exists) {
			return err
		}
	}
	return nil
}

// finishPlan moves a confirmed plan to the audit trail if it is still open.
func (e *Entry) finishPlan(ctx context.Context, id string, version uint64, o protocol.Operator) {
	p, object, err := e.readPlan(ctx, id)
	if err != nil {
		return
	}
	p.State, p.EndedBy, p.Version = plan.Confirmed, o.Name, version
	e.endPlan(ctx, p, object)
}

// peerVersion is the version in force at one entry.
type peerVersion struct {
	Entry   string `json:"entry"`
	Version uint64 `json:"version"`
}

// awaitInForce waits until this entry and all linked peers have the version in
// force, at most a few seconds, and returns what each has.
func (e *Entry) awaitInForce(ctx context.Context, version uint64) []peerVersion {
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	for {
		all, complete := e.versions(version)
		if complete {
			return all
		}
		select {
		case <-time.After(inForceLook):
		case <-ctx.Done():
			return all
		}
	}
}

func (e *Entry) versions(wanted uint64) (all []peerVersion, complete bool) {
	all = []peerVersion{{Entry: e.Settings.Name, Version: e.follower.Version()}}
	complete = e.follower.Version() >= wanted
	for _, p := range e.mesh.Versions() {
		all = append(all, peerVersion{Entry: p.Name, Version: p.Version})
		complete = complete && p.Version >= wanted
	}
	return all, complete
}
