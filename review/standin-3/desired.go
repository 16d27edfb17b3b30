package main

import "fmt"

// host is the host of all routes.
const host = "shop.example"

// routeTo returns a route of a desired state.
func routeTo(prefix, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": prefix, "hostname": host, "prefix": prefix, "kind": "non_idempotent", "service": service,
		"timeout": fmt.Sprintf("%dms", timeoutMS), "latency_target": "400ms", "priority": 0, "attempts": 2, "public": false,
	}
}

// desiredState returns a value of op/config. tenants is nil in a deployment without tenants.
func desiredState(version int, services []string, routes, tenants []map[string]any) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 260, "protocol": "h1", "tls": false, "warmup": "0ms", "warmup_per_s": 0,
		})
	}
	state := map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
	if tenants != nil {
		state["tenants"] = tenants
	}
	return state
}
