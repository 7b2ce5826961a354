import type { ClassTargets, Targets } from "@marigoldstall/core.types";
import type { MatchClassRequest } from "./match-class-request.js";

interface IndexedRule {
    readonly prefix: string;
    readonly target: ClassTargets;
}

interface ServiceIndex {
    readonly byName: ReadonlyMap<string, ClassTargets>;
    /** Rules of each method, longest prefix first. */
    readonly byMethod: ReadonlyMap<string, readonly IndexedRule[]>;
}

// Indexed by service and method, so that a request does not scan the classes of other services.
const indexCache = new WeakMap<Targets, ReadonlyMap<string, ServiceIndex>>();

const indexService = (classes: readonly ClassTargets[]): ServiceIndex => {
    const byMethod = new Map<string, IndexedRule[]>();
    for (const target of classes) {
        for (const rule of target.match) {
            for (const method of rule.methods) {
                const rules = byMethod.get(method) ?? [];
                rules.push({ prefix: rule.pathPrefix, target });
                byMethod.set(method, rules);
            }
        }
    }
    for (const rules of byMethod.values()) {
        rules.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    return { byName: new Map(classes.map(target => [target.name, target])), byMethod };
};

const indexTargets = (targets: Targets): ReadonlyMap<string, ServiceIndex> => {
    const classesByService = new Map<string, ClassTargets[]>();
    for (const target of targets.classes) {
        classesByService.set(target.service, [...classesByService.get(target.service) ?? [], target]);
    }
    return new Map([...classesByService].map(([service, classes]) => [service, indexService(classes)]));
};

const decodePath = (path: string): string => {
    try {
        return decodeURIComponent(path);
    }
    catch {
        return path;
    }
};

/** Decodes escapes and resolves dot segments, as a backend server may do, so that they cannot select another class. */
const normalizePath = (path: string): string => {
    const queryStart = path.search(/[?#]/);
    const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
    if (!pathname.includes("%") && !pathname.includes("/.") && !pathname.includes("//")) {
        return pathname;
    }
    const segments: string[] = [];
    for (const segment of decodePath(pathname).split("/").slice(1)) {
        if (segment === "..") {
            segments.pop();
        }
        else if (segment !== "." && segment !== "") {
            segments.push(segment);
        }
    }
    return `/${segments.join("/")}${/\/\.{0,2}$/.test(pathname) && segments.length > 0 ? "/" : ""}`;
};

/** Whether the prefix matches whole path segments: `/status` matches `/status` and `/status/7`, but not `/statuses`. */
const matchesPrefix = (prefix: string, path: string): boolean =>
    path.startsWith(prefix) && (path.length === prefix.length || prefix.endsWith("/") || path[prefix.length] === "/");

/**
 * Returns the class that the request names, or else the one with the longest matching path prefix. Undefined when the
 * service has no such class.
 */
export const matchClass = (targets: Targets, request: MatchClassRequest): ClassTargets | undefined => {
    let index = indexCache.get(targets);
    if (index === undefined) {
        index = indexTargets(targets);
        indexCache.set(targets, index);
    }
    const service = index.get(request.service);
    if (request.className !== undefined) {
        return service?.byName.get(request.className);
    }
    const rules = service?.byMethod.get(request.method);
    if (rules === undefined) {
        return undefined;
    }
    const path = normalizePath(request.path);
    return rules.find(rule => matchesPrefix(rule.prefix, path))?.target;
};
