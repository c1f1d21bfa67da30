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

// serveConfirm accepts a plan. The call is idempotent: a plan is accepted only once.
func (e *Entry) serveConfirm(c echo.Context, o protocol.Operator) error {
	if err := requireEditor(o); err != nil {
		return err
	}
	ctx := c.Request().Context()
	version, err := e.confirm(ctx, c.Param("id"), o)
	if err != nil {
		return platformRefusal(err)
	}
	return c.JSON(http.StatusOK, struct {
		Plan    string         `json:"plan"`
		Version uint64         `json:"version"`
		InForce []entryVersion `json:"in_force"`
	}{c.Param("id"), version, e.awaitInForce(ctx, version)})
}

// confirm accepts a plan and returns the version that contains it. It retries
// temporary errors. If the plan was accepted before, confirm returns that version.
func (e *Entry) confirm(ctx context.Context, id string, o protocol.Operator) (uint64, error) {
	for retries := 0; ; retries++ {
		version, done, err := e.tryConfirm(ctx, id, o)
		if done || err != nil && !isRetryable(err) || retries >= maxConfirmRetries {
			return version, err
		}
		select {
		case <-time.After(confirmRetryDelay):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// isRetryable reports whether an error may be temporary. Reading the manifest
// again shows whether a write took effect whose response was lost, or which
// conflicted with another.
func isRetryable(err error) bool {
	var refusal *protocol.Refusal
	return !errors.As(err, &refusal)
}

// tryConfirm makes one attempt to accept a plan. The result done reports whether the plan is
// accepted, now or earlier.
func (e *Entry) tryConfirm(ctx context.Context, id string, o protocol.Operator) (version uint64, done bool, err error) {
	current, err := e.platform.Get(ctx, protocol.ObjectManifest, protocol.ManifestName)
	if err != nil {
		return 0, false, err
	}
	var m protocol.Manifest
	if err := json.Unmarshal(current.Value, &m); err != nil {
		return 0, false, protocol.Refuse(protocol.StalePlan, "the manifest in the platform is broken").WithCause(err)
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

// replaceManifest writes the next manifest if the platform's manifest still has the given
// version.
func (e *Entry) replaceManifest(ctx context.Context, version protocol.Revision, next *protocol.Manifest) error {
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

// writeParts stores the plan's parts under their hashes. A part that already
// exists has the same content, so a conflict is not an error.
func (e *Entry) writeParts(ctx context.Context, p *plan.Plan) error {
	for _, change := range p.Changes {
		if change.Remove {
			continue
		}
		_, err := e.platform.Put(ctx, protocol.ObjectPart, change.Ref.Hash, protocol.Revision{}, change.Content)
		var exists *platform.Conflict
		if err != nil && !errors.As(err, &exists) {
			return err
		}
	}
	return nil
}

// finishPlan marks a plan as confirmed and moves it to the audit trail, if it is
// still open.
func (e *Entry) finishPlan(ctx context.Context, id string, version uint64, o protocol.Operator) {
	p, object, err := e.readPlan(ctx, id)
	if err != nil {
		return
	}
	p.State, p.EndedBy, p.Version = plan.Confirmed, o.Name, version
	e.archivePlan(ctx, p, object)
}

// entryVersion is the configuration version in force at one entry.
type entryVersion struct {
	Entry   string `json:"entry"`
	Version uint64 `json:"version"`
}

// awaitInForce waits until the version is in force at this entry and all
// connected peers, for at most inForceTimeout, and returns the version of each.
func (e *Entry) awaitInForce(ctx context.Context, version uint64) []entryVersion {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		versions, complete := e.entryVersions(version)
		if complete {
			return versions
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			return versions
		}
	}
}

// entryVersions returns the version in force at each entry, and whether all entries have
// reached the wanted version.
func (e *Entry) entryVersions(wanted uint64) (versions []entryVersion, complete bool) {
	versions = []entryVersion{{Entry: e.Settings.Name, Version: e.follower.Version()}}
	complete = e.follower.Version() >= wanted
	for _, p := range e.mesh.Versions() {
		versions = append(versions, entryVersion{Entry: p.Name, Version: p.Version})
		complete = complete && p.Version >= wanted
	}
	return versions, complete
}
