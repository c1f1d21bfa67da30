// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/coordination/plan"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

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

// tryConfirm is one try of confirm. Done says that the plan is accepted, by this try or before.
func (e *Entry) tryConfirm(ctx context.Context, id string, o protocol.Operator) (version uint64, done bool, err error) {
	current, err := e.platform.Get(ctx, protocol.ObjectManifest, protocol.ManifestName)
	if err != nil {
		return 0, false, err
	}
	var m protocol.Manifest
	if err := json.Unmarshal(current.Value, &m); err != nil {
		return 0, false, protocol.Refuse(protocol.StalePlan, "the manifest in the platform is broken").Because(err)
	}
	if version, ok := plan.AcceptedVersion(m, id); ok {
		e.finishPlan(ctx, id, version, o)
		return version, true, nil
	}
	p, _, err := e.readPlan(ctx, id)
	if err != nil {
		return 0, false, err
	}
	next, err := p.NextManifest(m, time.Now())
	if err != nil {
		return 0, false, err
	}
	if err := e.writeParts(ctx, p); err != nil {
		return 0, false, err
	}
	if err := e.replaceManifest(ctx, current.Version, &next); err != nil {
		return 0, false, err
	}
	event.PlanConfirmed.Log(e.Logger, slog.String("plan", id), slog.String("operator", o.Name), slog.Uint64("version", next.Version))
	_ = e.follower.Refresh(ctx)
	e.finishPlan(ctx, id, next.Version, o)
	return next.Version, true, nil
}

// replaceManifest writes the next manifest, if the platform's is still at a version.
func (e *Entry) replaceManifest(ctx context.Context, version uint64, next *protocol.Manifest) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) > protocol.MaxObjectBytes {
		return protocol.Refuse(protocol.BodyTooLarge, "the manifest would be larger than the platform holds")
	}
	_, err = e.platform.Put(ctx, protocol.ObjectManifest, protocol.ManifestName, version, value)
	return err
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

// versions returns the version in force at each entry, and whether all have reached a wanted
// one.
func (e *Entry) versions(wanted uint64) (all []peerVersion, complete bool) {
	all = []peerVersion{{Entry: e.Settings.Name, Version: e.follower.Version()}}
	complete = e.follower.Version() >= wanted
	for _, p := range e.mesh.Versions() {
		all = append(all, peerVersion{Entry: p.Name, Version: p.Version})
		complete = complete && p.Version >= wanted
	}
	return all, complete
}
