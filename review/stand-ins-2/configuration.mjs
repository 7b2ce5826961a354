export const route = opts => ({
    name: `r-${opts.service}`,
    routeType: opts.routeType,
    targetLatency: opts.targetLatency,
    priority: opts.priority ?? 2,
    match: { pathPrefix: opts.prefix },
    action: { service: opts.service, timeout: opts.timeout, maxAttempts: opts.maxAttempts ?? 2 },
});

export const putConfiguration = (store, opts) => {
    store.put(
        "keyed.op",
        "config",
        JSON.stringify({
            version: (opts.version ?? 7).toString(16).padStart(8, "0"),
            limits: opts.limits
                ?? {
                    maxHeaderBytes: 16_384,
                    maxBodyBytes: 67_108_864,
                    headerTimeout: "3000ms",
                    idleTimeout: "15000ms",
                },
            listeners: [{ host: opts.host, rules: opts.routes }],
            clusters: [...new Set(opts.routes.map(one => one.action.service))].map(name => ({
                name,
                healthPath: "/health",
                maxConns: 220,
                protocol: "h1",
                tls: false,
            })),
        }),
    );
};
