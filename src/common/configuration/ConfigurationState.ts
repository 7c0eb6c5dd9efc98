import type {
  Account,
  Change,
  ConfigurationSnapshot,
  Server,
  Template,
} from '../protocol/Configuration.js';

/**
 * Changes between two revisions. For every subject changed in between, `changes` holds at least its
 * last change, in order of revisions. The last change of all is always included, so its revision is
 * the target revision of the batch.
 */
export interface ChangeBatch {
  /** Revision to which the batch applies; its changes have higher revisions. */
  readonly after: number;
  readonly changes: readonly Change[];
}

/**
 * Outcome of {@link ConfigurationState.apply}.
 * - `applied`: the revision has risen.
 * - `known`: all changes of the batch were applied before.
 * - `gap`: changes before the batch are missing; nothing was applied.
 */
export type ApplyOutcome = 'applied' | 'known' | 'gap';

const EMPTY_SNAPSHOT: ConfigurationSnapshot = {
  revision: 0,
  templates: new Map(),
  accounts: new Map(),
  accountsByToken: new Map(),
  servers: new Map(),
};

/**
 * Configuration held by one process: the last change of every subject and the snapshot built from
 * them. Memory grows with the number of subjects, not with the number of changes. The revision
 * never decreases, and snapshots are immutable.
 */
export class ConfigurationState {
  private current: ConfigurationSnapshot = EMPTY_SNAPSHOT;

  private readonly latestChanges = new Map<string, Change>();

  /** Configuration in force. */
  get snapshot(): ConfigurationSnapshot {
    return this.current;
  }

  /**
   * Applies a batch if it starts at or before the held revision. Changes that are already known are
   * ignored.
   * @param batch - changes from a peer, the store or a publisher
   * @returns whether the batch was applied, already known, or left out because changes are missing
   */
  apply(batch: ChangeBatch): ApplyOutcome {
    const targetRevision = batch.changes.at(-1)?.revision ?? batch.after;
    if (targetRevision <= this.current.revision) return 'known';
    if (batch.after > this.current.revision) return 'gap';
    const { templates, accounts, servers } = this.current;
    // Copies once per batch, not per change: at start a batch may have many thousand changes.
    const draft: Draft = {
      templates: new Map(templates),
      accounts: new Map(accounts),
      servers: new Map(servers),
    };
    for (const change of batch.changes) {
      if (change.revision <= this.current.revision) continue;
      this.latestChanges.set(subjectKey(change), change);
      applySubject(draft, change);
    }
    const accountsByToken = indexByToken(draft.accounts);
    this.current = Object.freeze({ revision: targetRevision, ...draft, accountsByToken });
    return 'applied';
  }

  /**
   * Builds the batch that brings another process up to date.
   * @param after - revision held by the requesting process
   * @returns batch from that revision to the one held here
   */
  since(after: number): ChangeBatch {
    const changes = [...this.latestChanges.values()]
      .filter((change) => change.revision > after)
      .sort((left, right) => left.revision - right.revision);
    return { after, changes };
  }
}

/**
 * Identifies the template, account or server that a change is about.
 * @param change - change of a template, account or server
 * @returns key shared by all changes of one subject
 */
export function subjectKey(change: Pick<Change, 'subject'>): string {
  const { subject } = change;
  switch (subject.kind) {
    case 'template':
      return `template/${subject.value.name}`;
    case 'template-retired':
      return `template/${subject.name}`;
    case 'account':
      return `account/${subject.value.id}`;
    case 'account-retired':
      return `account/${subject.name}`;
    default:
      return `server/${subject.value.id}`;
  }
}

/** Mutable maps of the next snapshot while a batch is applied. */
interface Draft {
  readonly templates: Map<string, Template>;
  readonly accounts: Map<string, Account>;
  readonly servers: Map<string, Server>;
}

function applySubject(draft: Draft, { subject }: Change): void {
  switch (subject.kind) {
    case 'template':
      draft.templates.set(subject.value.name, subject.value);
      break;
    case 'template-retired':
      draft.templates.delete(subject.name);
      break;
    case 'account':
      draft.accounts.set(subject.value.id, subject.value);
      break;
    case 'account-retired':
      draft.accounts.delete(subject.name);
      break;
    default:
      draft.servers.set(subject.value.id, subject.value);
  }
}

function indexByToken(accounts: ReadonlyMap<string, Account>): ReadonlyMap<string, Account> {
  return new Map([...accounts.values()].map((account) => [account.tokenDigest, account] as const));
}
