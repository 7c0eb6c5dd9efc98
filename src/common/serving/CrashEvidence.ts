import { z } from 'zod';

/** A server that ended while responses to requests with these prompt parts were beginning. */
const CrashRecord = z.object({
  /** Identifies the incarnation of the server. */
  server: z.string(),
  /** Time since the crash, in ms. */
  ageMs: z.number().min(0),
  /** Ids of parts that may have caused it; further ones may follow in other messages. */
  parts: z.array(z.string()),
});

/** What a process knows about prompt parts that may crash servers; sent to its peers. */
export const CrashEvidence = z.object({
  crashes: z.array(CrashRecord),
  /** Time since the last complete response, in ms, for the parts of the crashes. */
  completed: z.record(z.string(), z.number().min(0)),
  /** Time since the last complete response to any request, in ms; older versions send none. */
  lastCompletionAgeMs: z.number().min(0).optional(),
});
export type CrashEvidence = z.infer<typeof CrashEvidence>;

/** A crash whose evidence is to be sent. */
export interface ReportedCrash {
  readonly server: string;
  /** Parts that may have caused it. */
  readonly parts: readonly string[];
  /** Those that may have caused other crashes too. */
  readonly common: readonly string[];
}

/** Part of the evidence that fits in one message. */
export interface EvidencePage {
  /** Parts of the crashes, by index of the crash. */
  readonly crashes: ReadonlyMap<number, ReadonlySet<string>>;
  /** Parts with a complete response. */
  readonly completed: readonly string[];
  /** Where the next page begins. */
  readonly next: EvidencePosition;
}

/** Position in the evidence. */
export interface EvidencePosition {
  readonly crash: number;
  readonly part: number;
  readonly completed: number;
}

export const FIRST_POSITION: EvidencePosition = { crash: 0, part: 0, completed: 0 };

/**
 * Most characters of crashes and of complete responses in one message, and room in it for parts that
 * may have caused several crashes. Heartbeats are datagrams that carry other state too.
 */
const MAX_CRASHES_LENGTH = 4800;
const MAX_COMMON_LENGTH = 1600;
const MAX_COMPLETED_LENGTH = 2400;

/** Characters of a crash or a complete response besides its ids; ages have up to 20 digits. */
const CRASH_OVERHEAD = 60;
const COMPLETED_OVERHEAD = 26;
const PART_OVERHEAD = 3;

/**
 * Chooses the part of the evidence that fits in one message, from a position on and over the end to the
 * begin, so that successive messages carry all of it. Parts that may have caused several crashes are in
 * each message.
 * @param crashes - crashes, the most urgent first
 * @param completed - parts with a complete response, the most urgent first
 * @param from - where the page begins
 * @returns the page
 */
export function evidencePage(
  crashes: readonly ReportedCrash[],
  completed: readonly string[],
  from: EvidencePosition,
): EvidencePage {
  const chosen = new CrashSelection(crashes);
  crashes.forEach(({ common }, index) =>
    common.every((part) => chosen.add(index, part, MAX_COMMON_LENGTH)),
  );
  const next = { ...from, ...chosen.addFrom(from) };
  const first = from.completed < completed.length ? from.completed : 0;
  const turned = [...completed.slice(first), ...completed.slice(0, first)];
  let room = MAX_COMPLETED_LENGTH;
  const endsAt = turned.findIndex((part) => {
    room -= part.length + COMPLETED_OVERHEAD;
    return room < 0;
  });
  const fitting = endsAt < 0 ? turned : turned.slice(0, endsAt);
  const nextCompleted = (first + fitting.length) % Math.max(1, completed.length);
  return { crashes: chosen.parts, completed: fitting, next: { ...next, completed: nextCompleted } };
}

/** Parts of crashes that fit in one message. */
class CrashSelection {
  /** By index of the crash. */
  readonly parts = new Map<number, Set<string>>();

  private length = 0;

  constructor(private readonly crashes: readonly ReportedCrash[]) {}

  /** @returns whether the part fits within the length, in characters */
  add(index: number, part: string, maxLength: number): boolean {
    const known = this.parts.get(index);
    if (known?.has(part)) return true;
    const crashLength = known ? 0 : CRASH_OVERHEAD + this.crashes[index]!.server.length;
    const length = this.length + crashLength + part.length + PART_OVERHEAD;
    if (length > maxLength) return false;
    this.length = length;
    this.parts.set(index, (known ?? new Set()).add(part));
    return true;
  }

  /** Adds all parts from a position on that fit; returns that of the first one that does not. */
  addFrom(
    from: Pick<EvidencePosition, 'crash' | 'part'>,
  ): Pick<EvidencePosition, 'crash' | 'part'> {
    const { crashes } = this;
    let [crash, part] = from.crash < crashes.length ? [from.crash, from.part] : [0, 0];
    for (let passed = 0; passed < crashes.length; passed += 1) {
      const { parts } = crashes[crash]!;
      for (; part < parts.length; part += 1) {
        if (!this.add(crash, parts[part]!, MAX_CRASHES_LENGTH)) return { crash, part };
      }
      crash = (crash + 1) % crashes.length;
      part = 0;
    }
    return { crash, part };
  }
}
