import { MarigoldstallError } from "@marigoldstall/core.error";
import { err, ok, type Result } from "neverthrow";

/** Parses the value of `--hedge-share`. */
export const parseHedgeShare = (text: string): Result<number, MarigoldstallError> => {
    const share = text.trim() === "" ? NaN : Number(text);
    return share >= 0 && share <= 1 ? ok(share) : err(
        new MarigoldstallError({
            code: "HEDGE_SHARE_INVALID",
            message: `--hedge-share is ${JSON.stringify(text)}, which is no number from 0 to 1`,
            step: "read the arguments",
            hint:
                "give the allowed hedges as a share of the requests, such as 0.02, or leave the option out for the default of 0",
        }),
    );
};
