/** Constant-time comparison of secrets. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Compares digests of equal length in constant time, so that timing does not reveal where the secrets differ. */
export function sameSecret(given: string, expected: string): boolean {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(given), digest(expected));
}
