import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { Result } from "neverthrow";
import type { DaemonStatus } from "./daemon-status.js";
import type { LoggedDecision } from "./logged-decision.js";

/** Client of the daemons' control ports. */
export abstract class DaemonClient {
    abstract readStatus(address: string): Promise<Result<DaemonStatus, MarigoldstallError>>;

    abstract explain(
        address: string,
        opts: { readonly requestId: string; },
    ): Promise<Result<readonly LoggedDecision[], MarigoldstallError>>;

    /** Returns the configuration in force at the daemon, or undefined if there is none. */
    abstract fetchConfiguration(
        address: string,
    ): Promise<Result<AcceptedConfiguration | undefined, MarigoldstallError>>;

    abstract close(): void;
}
