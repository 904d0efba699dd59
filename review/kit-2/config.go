package main

// apiKey is a key of the only tenant.
const (
	apiKey = "n2ctnfzs989anu6wsjnb"
	host   = "ficu95.example"
)

// config returns a desired state with routes.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}}},
	}
}

// route returns a route to the service desk.
func route(prefix, kind string, timeoutMs, maxAttempts int) map[string]any {
	return map[string]any{"name": "r" + prefix, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": 150, "priority": 2, "service": "desk", "maxAttempts": maxAttempts, "public": false}
}
