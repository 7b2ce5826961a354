import type { ConfigurationFinding } from "@marigoldstall/platform.adapter";

type Details = ConfigurationFinding["details"];

const MESSAGES: Readonly<Record<string, (details: Details) => string>> = {
    "refused": ({ problem }) => `the daemons refuse the configuration: ${problem}`,
    "key-of-two-tenants": () => "the daemons refuse the configuration: the key belongs to another tenant too",
    "against-refused": ({ problem }) => `the other version cannot be compared, as the daemons refuse it: ${problem}`,
    "host-repeated": ({ host, earlier }) => `host ${host} is listed before as ${earlier}; case makes no difference`,
    "route-shadowed": ({ route, by }) => `route ${route} never matches: ${by} has the same host and prefix`,
    "prefix-without-slash": ({ route, prefix }) => `prefix ${prefix} of route ${route} must begin and end with a slash`,
    "target-above-timeout": ({ route, target, timeout }) =>
        `route ${route} has a target latency of ${target}, above its timeout of ${timeout}`,
    "destination-missing": ({ route }) => `route ${route} names no service`,
    "service-unknown": ({ service }) => `service ${service} is not in clusters, so it has no servers`,
    "weight-zero": ({ service }) => `service ${service} has no weight, so it gets no requests`,
    "weights-all-zero": ({ route }) => `no service of route ${route} has a weight`,
    "attempts-below-one": ({ route, attempts }) => `route ${route} allows ${attempts} attempts, at least 1 is needed`,
    "service-unused": ({ service }) => `no route uses service ${service}`,
    "service-repeated": ({ service }) => `service ${service} is listed twice, and the last entry counts`,
    "tenant-without-keys": ({ tenant }) => `tenant ${tenant} has no key, so no request can be its own`,
    "tenant-repeated": ({ tenant }) => `tenant ${tenant} is listed twice`,
    "quota-below-one-request": ({ tenant }) => `the quota of tenant ${tenant} is below one request per window`,
    "burst-without-rate": ({ tenant }) => `the burst of tenant ${tenant} has no effect without a rate: it has no quota`,
    "header-timeout-above-idle-timeout": ({ headerTimeout, idleTimeout }) =>
        `the timeout of ${headerTimeout} for a request head is above the idle timeout of ${idleTimeout}`,
    "cold-limit-zero": ({ service }) => `service ${service} has a cold limit of 0, which the daemons take for no limit`,
    "version-raised": ({ before, after }) => `version ${before} -> ${after}`,
    "version-not-raised": ({ before, after }) =>
        `version ${after} is not above ${before}, so the daemons keep the other version`,
    "route-added": ({ route }) => `new route ${route}`,
    "route-removed": ({ route }) => `route ${route} is gone`,
    "route-changed": ({ route, fields }) => `route ${route} differs in ${fields}`,
    "service-added": ({ service }) => `new service ${service}`,
    "service-removed": ({ service }) => `service ${service} is gone`,
    "service-changed": ({ service, fields }) => `service ${service} differs in ${fields}`,
    "tenant-added": ({ tenant }) => `new tenant ${tenant}`,
    "tenant-removed": ({ tenant }) => `tenant ${tenant} is gone`,
    "tenant-changed": ({ tenant, fields }) => `tenant ${tenant} differs in ${fields}`,
    "keys-changed": ({ tenant, added, removed }) => `tenant ${tenant}: ${added} new keys, ${removed} revoked`,
    "limit-changed": ({ limit, before, after }) => `limit ${limit}: ${before} -> ${after}`,
    "keys-now-required": () => "requests need a key now, except on public routes",
    "keys-no-longer-required": () => "requests need no key any more",
};

/** Formats a finding about a configuration as one line. */
export const describeFinding = ({ severity, code, path, details }: ConfigurationFinding): string => {
    const message = MESSAGES[code]?.(details) ?? Object.values(details).join(", ");
    return `${severity}${path === "" ? "" : ` ${path}`}: ${message} (${code})`;
};
