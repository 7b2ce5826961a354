import type { Confirmation } from "./confirmation.js";
import type { DepartedServer } from "./departed-server.js";
import type { RegistrationChange } from "./registration-change.js";
import type { ZoneEvacuation } from "./zone-evacuation.js";

/** A registration that the sender withholds after a restore of the store. */
interface WithheldRegistration extends RegistrationChange {
    readonly remainingMs: number;
}

interface DepartedRegistration extends Pick<DepartedServer, "startedAtUnixMs" | "isDraining"> {
    readonly instanceId: string;
    readonly ageMs: number;
}

/** The complete list of registrations as of an offset of the topic. */
export interface ViewSnapshot {
    readonly era: number;
    readonly nextOffset: number;
    /** End of the first list of the era that the sender knows of. Undefined if the sender is of an earlier release. */
    readonly eraStartOffset: number | undefined;
    readonly registrations: readonly RegistrationChange[];
    readonly withheld: readonly WithheldRegistration[];
    /** Servers that have left lately, which a copy may contain from which the store is restored later. */
    readonly departed: readonly DepartedRegistration[];
    /** Time since the last read that showed that the store had nothing newer. */
    readonly ageMs: number;
    readonly confirmation: Confirmation | undefined;
    /** The latest known record on each zone. Undefined if there is none, or the sender is of an earlier release. */
    readonly evacuations?: readonly ZoneEvacuation[] | undefined;
}
