package launch

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond/internal/node/agent"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// statusRoutes serves an agent's health, readiness and metrics.
func statusRoutes(a *agent.Agent, metrics *stats.Registry) http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.HidePort = true
	r.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c echo.Context) error {
		if !a.Ready() {
			return c.String(http.StatusServiceUnavailable, "no entry answers, the worker is not settled, or the agent drains\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	r.GET("/metrics", echo.WrapHandler(metrics))
	return r
}
