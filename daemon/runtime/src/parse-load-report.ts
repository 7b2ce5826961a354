import type { LoadReport } from "@marigoldstall/core.types";

const PATTERN = /^in-flight=(\d{1,9}); queued=(\d{1,9}); slots=(\d{1,9})$/;

/** Parses the `Load-Report` header. Returns undefined if it is absent or malformed. */
export const parseLoadReport = (header: string | undefined): LoadReport | undefined => {
    const match = header === undefined ? undefined : PATTERN.exec(header) ?? undefined;
    return match === undefined
        ? undefined
        : { inFlight: Number(match[1]), queued: Number(match[2]), slots: Number(match[3]) };
};
