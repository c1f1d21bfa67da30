// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/trace"
)

func (e *Entry) operatorRoutes() http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.HTTPErrorHandler = e.routeError
	r.GET("/health", e.serveHealth)
	r.GET("/debug/vars", e.serveVars)
	r.GET("/admin/v1/status", e.withOperator(e.serveStatus))
	r.GET("/admin/v1/requests/:id", e.withOperator(e.serveTrace))
	r.POST("/admin/v1/intents", e.withOperator(e.serveIntent))
	r.GET("/admin/v1/plans", e.withOperator(e.servePlans))
	r.GET("/admin/v1/plans/:id", e.withOperator(e.servePlan))
	r.POST("/admin/v1/plans/:id/confirm", e.withOperator(e.serveConfirm))
	r.POST("/admin/v1/plans/:id/withdraw", e.withOperator(e.serveWithdraw))
	return r
}

// operatorHandler serves one call of an authenticated operator.
type operatorHandler func(c echo.Context, o protocol.Operator) error

// withOperator wraps a handler with the check of the operator's key.
func (e *Entry) withOperator(h operatorHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		cfg := e.follower.Current()
		if cfg == nil {
			return e.refuse(c, protocol.Refuse(protocol.NoConfiguration, "no configuration yet"))
		}
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		o, known := cfg.OperatorByKey(key)
		if !ok || !known {
			return e.refuse(c, protocol.Refuse(protocol.WrongKey, "the operator's key is missing or not known"))
		}
		if err := h(c, o); err != nil {
			return e.refuse(c, protocol.AsRefusal(err))
		}
		return nil
	}
}

func (e *Entry) serveVars(c echo.Context) error {
	return c.JSON(http.StatusOK, struct {
		Counters    json.RawMessage `json:"pinerun"`
		DetectionMS metric.Summary  `json:"detection_ms"`
		RecoveryMS  metric.Summary  `json:"recovery_ms"`
		Process     metric.Process  `json:"process"`
	}{json.RawMessage(e.counters.String()), e.detectionTimes.Summary(), e.recoveryTimes.Summary(), metric.ReadProcess()})
}

// runnerStatus is the status of one runner as seen by an entry.
type runnerStatus struct {
	Name    string  `json:"name"`
	Model   string  `json:"model"`
	Layers  string  `json:"layers"`
	Usable  bool    `json:"usable"`
	Leaving bool    `json:"leaving"`
	WaitMS  float64 `json:"wait_ms"`
}

// modelStatus is the status of one model as seen by an entry.
type modelStatus struct {
	Name    string `json:"name"`
	Layers  int    `json:"layers"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// entryStatus is the response to a status call.
type entryStatus struct {
	Entry   string         `json:"entry"`
	Ready   bool           `json:"ready"`
	Version uint64         `json:"version"`
	Open    int64          `json:"open"`
	Entries int            `json:"entries"`
	InForce []entryVersion `json:"in_force"`
	Models  []modelStatus  `json:"models"`
	Runners []runnerStatus `json:"runners"`
}

func (e *Entry) serveStatus(c echo.Context, _ protocol.Operator) error {
	return c.JSON(http.StatusOK, e.status(time.Now()))
}

func (e *Entry) status(now time.Time) entryStatus {
	s := entryStatus{
		Entry: e.Settings.Name, Ready: e.Ready(), Open: e.openRequests.Load(), Entries: e.liveEntries(),
		Version: e.follower.Current().Version(), Models: []modelStatus{}, Runners: []runnerStatus{},
	}
	s.InForce, _ = e.entryVersions(0)
	for _, m := range e.follower.Current().ModelList() {
		running, waiting := e.admission.load(m.Name)
		s.Models = append(s.Models, modelStatus{Name: m.Name, Layers: m.Layers, Running: running, Waiting: waiting})
	}
	for _, r := range e.view.Load().Runners() {
		s.Runners = append(s.Runners, runnerStatus{
			Name: r.Name(), Model: r.Spec().Model, Layers: r.Span().String(),
			Usable: r.Usable(now), Leaving: r.Leaving(), WaitMS: r.QueueDelay(now) * 1000,
		})
	}
	slices.SortFunc(s.Runners, func(a, b runnerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (e *Entry) serveTrace(c echo.Context, _ protocol.Operator) error {
	id, err := protocol.ParseRequestID(c.Param("id"))
	if err != nil {
		return err
	}
	events, dropped, ok := e.traces.Read(id)
	if !ok {
		return protocol.Refuse(protocol.UnknownRequest, "this entry has not run "+id.String()+" lately")
	}
	return c.JSON(http.StatusOK, struct {
		Request string        `json:"request"`
		Lines   []trace.Event `json:"lines"`
		Dropped int           `json:"dropped"`
	}{id.String(), events, dropped})
}
