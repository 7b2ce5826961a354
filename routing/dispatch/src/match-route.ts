import type { Route, RoutingConfiguration } from "@marigoldstall/core.types";

const PORT = /:\d+$/;

/** Finds the route of a host with the longest matching path prefix. */
export const matchRoute = (
    configuration: RoutingConfiguration,
    request: { readonly host: string; readonly path: string; },
): Route | undefined => {
    const host = request.host.toLowerCase();
    const routes = configuration.routesByHost.get(host) ?? configuration.routesByHost.get(host.replace(PORT, ""));
    const [path = ""] = request.path.split("?", 1);
    return routes?.find(route => path.startsWith(route.pathPrefix));
};
