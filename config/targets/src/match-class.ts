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

// The index spares each request a scan over the classes of other services.
const indexes = new WeakMap<Targets, ReadonlyMap<string, ServiceIndex>>();

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
    const classesOf = new Map<string, ClassTargets[]>();
    for (const target of targets.classes) {
        classesOf.set(target.service, [...classesOf.get(target.service) ?? [], target]);
    }
    return new Map([...classesOf].map(([service, classes]) => [service, indexService(classes)]));
};

const decodeSegments = (path: string): string => {
    try {
        return decodeURIComponent(path);
    }
    catch {
        return path;
    }
};

/** A backend server may resolve escapes and dot segments, so that they must not lead to another class. */
const normalizePath = (path: string): string => {
    const queryStart = path.search(/[?#]/);
    const bare = queryStart < 0 ? path : path.slice(0, queryStart);
    if (!bare.includes("%") && !bare.includes("/.") && !bare.includes("//")) {
        return bare;
    }
    const segments: string[] = [];
    for (const segment of decodeSegments(bare).split("/").slice(1)) {
        if (segment === "..") {
            segments.pop();
        }
        else if (segment !== "." && segment !== "") {
            segments.push(segment);
        }
    }
    return `/${segments.join("/")}${/\/\.{0,2}$/.test(bare) && segments.length > 0 ? "/" : ""}`;
};

/** A prefix matches whole segments: `/status` matches `/status` and `/status/7`, but not `/statuses`. */
const isPrefix = (prefix: string, path: string): boolean =>
    path.startsWith(prefix) && (path.length === prefix.length || prefix.endsWith("/") || path[prefix.length] === "/");

/**
 * Finds the class of a request: the named one, else the one with the longest matching path prefix. Undefined when
 * the service has no such class.
 */
export const matchClass = (targets: Targets, request: MatchClassRequest): ClassTargets | undefined => {
    let index = indexes.get(targets);
    if (index === undefined) {
        index = indexTargets(targets);
        indexes.set(targets, index);
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
    return rules.find(rule => isPrefix(rule.prefix, path))?.target;
};
