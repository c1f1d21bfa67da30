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
	// maxConfirmRetries is the maximum number of retries of one confirmation.
	maxConfirmRetries = 20
	confirmRetryDelay = 100 * time.Millisecond
	// inForceTimeout is how long a confirmation waits until all entries have the
	// new version.
	inForceTimeout      = 4 * time.Second
	inForcePollInterval = 20 * time.Millisecond
)

// auditKind returns the kind of the objects that hold the plans closed on a day.
func auditKind(at time.Time) string { return "audit-" + at.UTC().Format("20060102") }

// serveIntent creates a plan from an intent and stores it in the platform.
func (e *Entry) serveIntent(c echo.Context, o protocol.Operator) error {
	if err := requireEditor(o); err != nil {
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, e.Settings.Limits.BodyBytes))
	if err != nil {
		return protocol.Refuse(protocol.BodyTooLarge, "the intent is too long")
	}
	ctx := c.Request().Context()
	// The plan should start from the newest version. An error is ignored here:
	// without the platform the plan can't be stored either, and is refused below.
	_ = e.follower.Refresh(ctx)
	p, err := plan.Make(e.follower.Current(), body, o.Name, newPlanID(), time.Now().UTC())
	if err != nil {
		return err
	}
	if _, err := e.writePlan(ctx, protocol.ObjectPlan, p, protocol.Revision{}); err != nil {
		return platformRefusal(err)
	}
	return c.JSON(http.StatusOK, p)
}

func newPlanID() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // crypto/rand documents that it never fails
	return "p-" + hex.EncodeToString(b[:])
}

// requireEditor refuses operators that may not change the configuration.
func requireEditor(o protocol.Operator) error {
	if o.Role != roleEditor {
		return protocol.Refuse(protocol.WrongRole, "operator "+o.Name+" has the role "+o.Role+"; changes need "+roleEditor)
	}
	return nil
}

// platformRefusal returns err if it is a refusal. It reports any other error as a
// failure of the platform.
func platformRefusal(err error) error {
	var refusal *protocol.Refusal
	if errors.As(err, &refusal) {
		return err
	}
	return protocol.Refuse(protocol.PlatformDown, "the platform does not answer").WithCause(err).WithRetryAt(time.Now().Add(time.Second))
}

// writePlan writes a plan over the given version of its object and returns the new
// version.
func (e *Entry) writePlan(ctx context.Context, kind string, p *plan.Plan, version protocol.Revision) (protocol.Revision, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return protocol.Revision{}, err
	}
	if len(value) > protocol.MaxObjectBytes {
		return protocol.Revision{}, protocol.Refuse(protocol.BodyTooLarge, "the plan is larger than the platform holds; change fewer parts at once")
	}
	return e.platform.Put(ctx, kind, p.ID, version, value)
}

// readPlan returns an open plan and the version of its object.
func (e *Entry) readPlan(ctx context.Context, id string) (*plan.Plan, protocol.Revision, error) {
	object, err := e.platform.Get(ctx, protocol.ObjectPlan, id)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		return nil, protocol.Revision{}, protocol.Refuse(protocol.UnknownPlan, "there is no open plan "+id)
	}
	if err != nil {
		return nil, protocol.Revision{}, err
	}
	var p plan.Plan
	if err := json.Unmarshal(object.Value, &p); err != nil || p.ID != id {
		return nil, protocol.Revision{}, protocol.Refuse(protocol.UnknownPlan, "the object of plan "+id+" is not a plan").WithCause(err)
	}
	return &p, object.Version, nil
}

func (e *Entry) servePlan(c echo.Context, _ protocol.Operator) error {
	p, _, err := e.readPlan(c.Request().Context(), c.Param("id"))
	if err != nil {
		return platformRefusal(err)
	}
	return c.JSON(http.StatusOK, p)
}

// servePlans lists the open plans, or the plans closed on a day (?day=20060102).
func (e *Entry) servePlans(c echo.Context, _ protocol.Operator) error {
	kind := protocol.ObjectPlan
	if day := c.QueryParam("day"); day != "" {
		date, err := time.Parse("20060102", day)
		if err != nil {
			return protocol.Refuse(protocol.MalformedRequest, "day must be like 20261202")
		}
		kind = auditKind(date)
	}
	objects, err := e.platform.List(c.Request().Context(), kind)
	if err != nil {
		return platformRefusal(err)
	}
	plans := make([]plan.Plan, 0, len(objects))
	for _, object := range objects {
		var p plan.Plan
		if json.Unmarshal(object.Value, &p) == nil && p.ID == object.Name {
			plans = append(plans, p)
		}
	}
	return c.JSON(http.StatusOK, plans)
}

func (e *Entry) serveWithdraw(c echo.Context, o protocol.Operator) error {
	if err := requireEditor(o); err != nil {
		return err
	}
	ctx := c.Request().Context()
	p, version, err := e.readPlan(ctx, c.Param("id"))
	if err != nil {
		return platformRefusal(err)
	}
	p.State, p.EndedBy = plan.Withdrawn, o.Name
	// The open plan is marked first, so that it can't be confirmed afterwards.
	if version, err = e.writePlan(ctx, protocol.ObjectPlan, p, version); err != nil {
		return platformRefusal(err)
	}
	e.archivePlan(ctx, p, version)
	return c.JSON(http.StatusOK, p)
}

// archivePlan moves a plan to the audit trail of the current day.
func (e *Entry) archivePlan(ctx context.Context, p *plan.Plan, version protocol.Revision) {
	_, err := e.writePlan(ctx, auditKind(time.Now()), p, protocol.Revision{})
	var exists *platform.Conflict
	if err == nil || errors.As(err, &exists) {
		_ = e.platform.Delete(ctx, protocol.ObjectPlan, p.ID, version)
	}
}
