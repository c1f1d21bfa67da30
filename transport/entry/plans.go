// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/coordination/plan"
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
