import {
    createPipelineState,
    type PipelineEvent,
    type PipelineState,
    reducePipeline,
} from "@marigoldstall/requests.pipeline";

/** A request as the caller and its backend server make it. */
interface RequestKind {
    readonly isIdempotent: boolean;
    /** Whether the response of the first attempt has a length. */
    readonly isFramed: boolean;
    /** Whether the caller asks to close the connection after the response. */
    readonly isLastRequest: boolean;
}

// A rejected request was answered by the listener and not passed on.
type Fate = "unsent" | "accepted" | "rejected" | "forwarded" | "answered" | "written" | "ignored" | "abandoned";

const FATES = { "forward-request": "forwarded", "ignore-request": "ignored", "abandon-request": "abandoned" } as const;

interface World {
    readonly pipeline: PipelineState;
    readonly fates: readonly Fate[];
    /** Indexes of the requests whose responses were written or are being written, in this order. */
    readonly written: readonly number[];
    readonly writing: number | undefined;
    readonly isStopping: boolean;
    /** Whether the caller's input has failed. */
    readonly hasFailed: boolean;
    /** Whether the response that is being written, or was written, is the last one. */
    readonly isEnding: boolean;
    readonly isClosed: boolean;
}

interface Step {
    readonly name: string;
    readonly next: World;
}

/** Tries all orders of the events on a connection with a few requests, and lists what must not happen. */
export class PipelineSearch {
    readonly problems = new Set<string>();
    readonly visited = new Set<string>();
    private readonly kinds: readonly RequestKind[];

    constructor(kinds: readonly RequestKind[]) {
        this.kinds = kinds;
    }

    run(): void {
        this.visit({
            pipeline: createPipelineState(),
            fates: this.kinds.map(() => "unsent"),
            written: [],
            writing: undefined,
            isStopping: false,
            hasFailed: false,
            isEnding: false,
            isClosed: false,
        }, []);
    }

    private visit(world: World, path: readonly string[]): void {
        const key = JSON.stringify(world);
        if (this.visited.has(key)) {
            return;
        }
        this.visited.add(key);
        this.check(world, path);
        for (const { name, next } of this.listSteps(world, path)) {
            this.visit(next, [...path, name]);
        }
    }

    private report(problem: string, path: readonly string[]): void {
        this.problems.add(`${problem} after ${path.join(", ")}`);
    }

    private check(world: World, path: readonly string[]): void {
        const { fates, written, pipeline } = world;
        if (written.some((index, position) => position > 0 && index < (written[position - 1] ?? 0))) {
            this.report("a response out of order", path);
        }
        if (world.isClosed) {
            return;
        }
        const ignored = fates.indexOf("ignored");
        if (ignored >= 0 && fates.slice(ignored).some(fate => fate !== "ignored" && fate !== "unsent")) {
            this.report("a request behind an ignored one accepted", path);
        }
        if ((ignored >= 0 || world.hasFailed) && pipeline.requests.length === 0 && !world.isEnding) {
            this.report("an ignored request or failed input on a connection that stays open", path);
        }
        if (fates.includes("abandoned")) {
            this.report("a request that was passed on and abandoned", path);
        }
        const blocker = fates.findIndex((fate, index) => fate === "forwarded" && !this.kinds[index]?.isIdempotent);
        if (blocker >= 0 && fates.slice(blocker + 1).includes("forwarded")) {
            this.report("a request passed on behind one that is not idempotent", path);
        }
    }

    private listSteps(world: World, path: readonly string[]): readonly Step[] {
        if (world.isClosed) {
            return [];
        }
        const { fates } = world;
        const steps: Step[] = [];
        const add = (name: string, event: PipelineEvent, changes: Partial<World> = {}): void => {
            const next = this.apply({ ...world, ...changes }, event, path);
            steps.push({ name, next });
        };
        const nextIndex = world.hasFailed ? -1 : fates.indexOf("unsent");
        const kind = this.kinds[nextIndex];
        if (kind !== undefined) {
            add(`start ${nextIndex}`, {
                type: "request-started",
                requestKey: String(nextIndex),
                isLastRequest: kind.isLastRequest,
            }, { fates: fates.with(nextIndex, "accepted") });
        }
        for (const { requestKey, phase } of world.pipeline.requests) {
            if (phase === "receiving") {
                add(`read ${requestKey}`, { type: "request-read", requestKey });
                add(`reject ${requestKey}`, { type: "response-ready", requestKey, isLastResponse: true });
            }
            if (phase === "forwarded") {
                add(`answer ${requestKey}`, {
                    type: "response-ready",
                    requestKey,
                    isLastResponse: this.isLastResponse(world, Number(requestKey)),
                });
            }
        }
        if (world.writing !== undefined) {
            const { writing } = world;
            const event = { type: "response-written", requestKey: String(writing) } as const;
            const changes = { writing: undefined, fates: fates.with(writing, "written") };
            if (world.isEnding) {
                this.checkEnd(world, path);
                add(`write ${writing} and close`, { type: "connection-closed" }, { ...changes, isClosed: true });
            }
            else {
                add(`write ${writing}`, event, changes);
            }
        }
        if (!world.hasFailed) {
            const partial = world.pipeline.requests.at(-1);
            const requestKey = partial?.phase === "receiving" ? partial.requestKey : undefined;
            const failure = { hasFailed: true };
            add("input fails", { type: "input-failed", requestKey: undefined, statusCode: 400 }, failure);
            add("request fails", { type: "input-failed", requestKey, statusCode: 400 }, failure);
        }
        if (!world.isStopping) {
            steps.push({ name: "stop", next: { ...world, isStopping: true } });
        }
        add("caller leaves", { type: "connection-closed" }, { isClosed: true });
        return steps;
    }

    // The dispatcher replaces the response to an idempotent request that would cut others off.
    private isLastResponse(world: World, index: number): boolean {
        const kind = this.kinds[index];
        const followers = world.fates.slice(index + 1);
        const hasFollowers = followers.some(fate => fate === "forwarded" || fate === "answered");
        return kind?.isFramed === false && !(kind.isIdempotent && hasFollowers);
    }

    private checkEnd(world: World, path: readonly string[]): void {
        if (
            world.fates.some((fate, index) => fate === "forwarded" || (fate === "answered" && index !== world.writing))
        ) {
            this.report("a request that was passed on and cut off", path);
        }
    }

    // The connection closes after the error.
    private applyError(world: World, path: readonly string[]): World {
        if (world.isEnding || world.pipeline.requests.length > 0) {
            this.report("an error in the place of a response", path);
        }
        this.checkEnd(world, path);
        return { ...world, isEnding: true, isClosed: true };
    }

    private apply(world: World, event: PipelineEvent, path: readonly string[]): World {
        const { state, effects } = reducePipeline(world.pipeline, event, { isStopping: world.isStopping });
        let next: World = { ...world, pipeline: state };
        if (event.type === "response-ready") {
            const index = Number(event.requestKey);
            const fate = next.fates[index] === "accepted" ? "rejected" : "answered";
            next = { ...next, fates: next.fates.with(index, fate) };
        }
        for (const effect of effects) {
            if (effect.type === "write-error") {
                next = this.applyError(next, path);
                continue;
            }
            if (effect.type === "reject-request") {
                const { requestKey } = effect;
                next = this.apply(next, { type: "response-ready", requestKey, isLastResponse: true }, path);
                continue;
            }
            const index = Number(effect.requestKey);
            if (effect.type === "write-response") {
                next = {
                    ...next,
                    written: [...next.written, index],
                    writing: index,
                    isEnding: next.isEnding || effect.isLastResponse,
                };
                continue;
            }
            const fate = next.fates[index] === "rejected" ? "ignored" : FATES[effect.type];
            next = { ...next, fates: next.fates.with(index, fate) };
            if (effect.type === "forward-request") {
                const isIdempotent = this.kinds[index]?.isIdempotent ?? true;
                const forwarded = { type: "request-forwarded", requestKey: effect.requestKey, isIdempotent } as const;
                next = this.apply(next, forwarded, path);
            }
        }
        return next;
    }
}
