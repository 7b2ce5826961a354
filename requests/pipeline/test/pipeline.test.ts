import {
    createPipelineState,
    type PipelineEffect,
    type PipelineEvent,
    type PipelineState,
    reducePipeline,
} from "@marigoldstall/requests.pipeline";
import { expect } from "chai";

describe("requests.pipeline", () => {
    let state: PipelineState;
    let effects: readonly PipelineEffect[];
    let isStopping: boolean;

    const apply = (event: PipelineEvent): void => {
        const transition = reducePipeline(state, event, { isStopping });
        state = transition.state;
        effects = [...effects, ...transition.effects];
    };
    const start = (requestKey: string, opts: { readonly isLastRequest?: boolean; } = {}): void => {
        apply({ type: "request-started", requestKey, isLastRequest: opts.isLastRequest ?? false });
    };
    const read = (requestKey: string): void => {
        start(requestKey);
        apply({ type: "request-read", requestKey });
    };
    const forward = (requestKey: string, opts: { readonly isIdempotent?: boolean; } = {}): void => {
        read(requestKey);
        apply({ type: "request-forwarded", requestKey, isIdempotent: opts.isIdempotent ?? true });
    };
    const answer = (requestKey: string, opts: { readonly isLastResponse?: boolean; } = {}): void => {
        apply({ type: "response-ready", requestKey, isLastResponse: opts.isLastResponse ?? false });
    };
    const finishWriting = (requestKey: string): void => {
        apply({ type: "response-written", requestKey });
    };
    const keysOf = (type: PipelineEffect["type"]): readonly string[] =>
        effects.flatMap(effect => effect.type === type && "requestKey" in effect ? [effect.requestKey] : []);
    const writes = (): readonly (readonly [string, boolean])[] =>
        effects.flatMap(effect =>
            effect.type === "write-response" ? [[effect.requestKey, effect.isLastResponse] as const] : []
        );

    beforeEach(() => {
        state = createPipelineState();
        effects = [];
        isStopping = false;
    });

    it("writes responses in the order of the requests, each after the one before has been written", () => {
        forward("1");
        forward("2");
        answer("2");
        expect(writes()).to.deep.equal([]);
        answer("1");
        expect(writes()).to.deep.equal([["1", false]]);
        finishWriting("1");
        expect(writes()).to.deep.equal([["1", false], ["2", false]]);
    });

    it("takes the first response to a request only", () => {
        forward("1");
        answer("1");
        answer("1", { isLastResponse: true });
        expect(writes()).to.deep.equal([["1", false]]);
    });

    it("drops the requests behind a last response, and ends those that were passed on", () => {
        forward("1");
        forward("2");
        start("3");
        answer("1", { isLastResponse: true });
        expect(writes()).to.deep.equal([["1", true]]);
        expect(keysOf("abandon-request")).to.deep.equal(["2"]);
        expect(keysOf("ignore-request")).to.deep.equal(["3"]);
    });

    it("ignores what comes behind a request that closes the connection", () => {
        start("1", { isLastRequest: true });
        start("2");
        expect(keysOf("ignore-request")).to.deep.equal(["2"]);
    });

    it("ends all requests in progress once the connection has closed", () => {
        forward("1");
        answer("1");
        forward("2");
        apply({ type: "connection-closed" });
        expect(keysOf("abandon-request")).to.deep.equal(["1", "2"]);
    });

    // The response to the first one may have no length, so that only the end of the connection delimits it. It has to be
    // relayed all the same, and took the response behind it with it (review/8).
    describe("behind a request that is not idempotent", () => {
        it("holds requests back until its response is known to leave the connection open", () => {
            forward("1", { isIdempotent: false });
            read("2");
            read("3");
            expect(keysOf("forward-request")).to.deep.equal(["1"]);
            answer("1");
            expect(keysOf("forward-request")).to.deep.equal(["1", "2"]);
            apply({ type: "request-forwarded", requestKey: "2", isIdempotent: true });
            expect(keysOf("forward-request")).to.deep.equal(["1", "2", "3"]);
        });

        it("ignores the held requests if its response closes the connection", () => {
            forward("1", { isIdempotent: false });
            read("2");
            start("3");
            answer("1", { isLastResponse: true });
            expect(keysOf("forward-request")).to.deep.equal(["1"]);
            expect(keysOf("ignore-request")).to.deep.equal(["2", "3"]);
        });

        it("holds back a request that was read before an earlier one", () => {
            start("1");
            read("2");
            expect(keysOf("forward-request")).to.deep.equal([]);
            apply({ type: "request-read", requestKey: "1" });
            apply({ type: "request-forwarded", requestKey: "1", isIdempotent: true });
            expect(keysOf("forward-request")).to.deep.equal(["1", "2"]);
        });

        it("ignores the held requests once the process stops", () => {
            forward("1", { isIdempotent: false });
            read("2");
            isStopping = true;
            answer("1");
            expect(keysOf("ignore-request")).to.deep.equal(["2"]);
            expect(writes()).to.deep.equal([["1", true]]);
        });
    });

    // The status of what came behind a request was written into the place of that request's answer (issue 46).
    describe("with input that is no request", () => {
        const failInput = (requestKey?: string): void => {
            apply({ type: "input-failed", requestKey, statusCode: 400 });
        };
        const errors = (): readonly number[] =>
            effects.flatMap(effect => effect.type === "write-error" ? [effect.statusCode] : []);

        it("answers it after the responses to all accepted requests", () => {
            forward("1");
            forward("2");
            failInput();
            answer("2");
            answer("1");
            finishWriting("1");
            expect(errors()).to.deep.equal([]);
            expect(writes()).to.deep.equal([["1", false], ["2", false]]);
            finishWriting("2");
            expect(errors()).to.deep.equal([400]);
        });

        it("answers it at once on a connection without requests", () => {
            failInput();
            failInput();
            expect(errors()).to.deep.equal([400]);
        });

        it("rejects the request that it belongs to, as the last one", () => {
            forward("1");
            start("2");
            failInput("2");
            expect(effects.at(-1)).to.deep.equal({ type: "reject-request", requestKey: "2", statusCode: 400 });
            answer("2", { isLastResponse: true });
            answer("1");
            finishWriting("1");
            finishWriting("2");
            expect(writes()).to.deep.equal([["1", false], ["2", true]]);
            expect(errors()).to.deep.equal([]);
        });

        it("ignores it behind a response that closes the connection", () => {
            forward("1", { isIdempotent: false });
            failInput();
            answer("1", { isLastResponse: true });
            finishWriting("1");
            expect(errors()).to.deep.equal([]);
        });
    });

    describe("while the process stops", () => {
        // A response was written as one that keeps the connection open before SIGTERM came, although it had to wait for
        // its turn until after it (review/6).
        it("closes the connection after the last accepted request, whenever its response was ready", () => {
            forward("1");
            forward("2");
            answer("2");
            isStopping = true;
            start("3");
            answer("1");
            finishWriting("1");
            expect(writes()).to.deep.equal([["1", false], ["2", true]]);
            expect(keysOf("ignore-request")).to.deep.equal(["3"]);
        });

        // A request was ignored although no later response could announce the end of the connection any more.
        it("accepts a request behind a response that is being written", () => {
            forward("1");
            answer("1");
            isStopping = true;
            forward("2");
            finishWriting("1");
            answer("2");
            expect(writes()).to.deep.equal([["1", false], ["2", true]]);
        });

        // Once a request is ignored, its response would have to come before those of all later ones.
        it("ignores each request behind an ignored one", () => {
            forward("1");
            isStopping = true;
            start("2");
            answer("1");
            start("3");
            expect(keysOf("ignore-request")).to.deep.equal(["2", "3"]);
            expect(writes()).to.deep.equal([["1", true]]);
        });
    });
});
