// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/internal/clock"
)

// readinessHandler answers the load balancer.
func (f *Front) readinessHandler() http.Handler {
	e := echo.New()
	e.GET("/ready", func(c echo.Context) error {
		if !f.isReady(clock.Now()) {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// metricsHandler serves the counters, latencies and gauges as text, and the state of the endpoints
// as JSON.
func (f *Front) metricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		c.Response().WriteHeader(http.StatusOK)
		if err := f.Counters.WriteText(c.Response()); err != nil {
			return err
		}
		if err := writeStoreEra(c.Response(), f.Dependencies.Eras.Latest()); err != nil {
			return err
		}
		if err := writeStateAges(c.Response(), f.source.KnownKinds(), clock.Now()); err != nil {
			return err
		}
		return writeGauges(c.Response(), f.fleetStatus(clock.Now()))
	})
	e.GET("/fleet", func(c echo.Context) error {
		return c.JSON(http.StatusOK, f.fleetStatus(clock.Now()))
	})
	return e
}
