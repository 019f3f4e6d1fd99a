/** Comparison of secrets. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Compares digests of equal length, so that the time taken does not depend on where the secrets differ. */
export function sameSecret(given: string, expected: string): boolean {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(given), digest(expected));
}
