/*
 * The state of one rollout: a row of the store that two hosts write, each write under the condition of the version that the host read.
 * The store loses answers and lets a write take effect late; a host may stop between any two steps and go on later with what it knew, or
 * die and start again without memory. The operator replaces the order once.
 * Promised: a row version stands for one stage; stages of an order only move forward; a final stage stays until a later order;
 * a later order begins only after the end of the former; a host sends nothing to the new version once it knows the roll-back, or has seen
 * that the version is bad.
 */
#define HOSTS 2
#define ORDERS 2
#ifndef STEPS
#define STEPS 8
#endif

#define WAITING    0
#define CANARY     1
#define FULL       2
#define DONE       3
#define ROLLEDBACK 4
#define isFinal(s) (s >= DONE)

/* The row. */
byte rowVersion = 0; /* 0: absent */
byte rowOrder = 0;
byte rowStage = WAITING;
byte rowRefused = 0; /* last order that was refused */

byte ordered = 1; /* number of the operator's latest order */

/* What the hosts know. */
byte known[HOSTS]; /* row version */
byte order[HOSTS];
byte stage[HOSTS];
byte refused[HOSTS];
bool hasSeenBad[HOSTS];
bool isStopped[HOSTS]; /* sends nothing to the new version of its order */
byte writes = 0;

/* One write of each host, which may take effect late. */
bool pending[HOSTS];
byte pendingOn[HOSTS];
byte pendingOrder[HOSTS];
byte pendingStage[HOSTS];
byte pendingRefused[HOSTS];

inline send(h, newOrder, newStage, newRefused) {
    pending[h] = true;
    pendingOn[h] = known[h];
    pendingOrder[h] = newOrder;
    pendingStage[h] = newStage;
    pendingRefused[h] = newRefused
}

inline adopt(h, v, o, s, r) {
    assert(!(v > 0 && v == known[h] && (o != order[h] || s != stage[h])));
    if
#ifndef WITHOUT_NEWEST_ROW
    :: v <= known[h] -> skip
    :: v > known[h] ->
#else
    :: true ->
#endif
        assert(!(o == order[h] && isFinal(stage[h]) && s != stage[h]));
        if
        :: o != order[h] -> hasSeenBad[h] = false; isStopped[h] = false
        :: else -> skip
        fi;
        known[h] = v;
        order[h] = o;
        stage[h] = s;
        refused[h] = r;
#ifndef WITHOUT_KEEPING_STOPPED
        isStopped[h] = (s == ROLLEDBACK) || (hasSeenBad[h] && s != DONE)
#else
        isStopped[h] = (s == ROLLEDBACK)
#endif
    fi
}

/* The store takes the write, or refuses it; the answer arrives or is lost. */
inline takeEffect(h) {
    pending[h] = false;
    if
#ifndef WITHOUT_CONDITION
    :: pendingOn[h] != rowVersion -> skip
    :: pendingOn[h] == rowVersion ->
#else
    :: true ->
#endif
        assert(pendingOrder[h] >= rowOrder);
        assert(!(pendingOrder[h] == rowOrder && rowVersion > 0 && pendingStage[h] < rowStage));
        assert(!(pendingOrder[h] == rowOrder && isFinal(rowStage) && pendingStage[h] != rowStage));
        assert(!(pendingOrder[h] > rowOrder && rowVersion > 0 && !isFinal(rowStage)));
        assert(!(pendingOrder[h] > rowOrder && rowRefused >= pendingOrder[h]));
        rowVersion = rowVersion + 1;
        rowOrder = pendingOrder[h];
        rowStage = pendingStage[h];
        rowRefused = pendingRefused[h]
    fi;
    if
    :: adopt(h, rowVersion, rowOrder, rowStage, rowRefused)
    :: skip
    fi
}

inline advance(h) {
    if
    :: stage[h] == WAITING -> send(h, order[h], CANARY, refused[h])
    :: stage[h] == CANARY && !hasSeenBad[h] -> send(h, order[h], FULL, refused[h])
    :: stage[h] == FULL && !hasSeenBad[h] -> send(h, order[h], DONE, refused[h])
    :: hasSeenBad[h] -> send(h, order[h], ROLLEDBACK, refused[h])
    fi;
    writes++
}

proctype host(byte h)
{
    do
    /* The latest order: begun after the former, else refused. */
    :: atomic { !pending[h] && writes < STEPS && known[h] == rowVersion && rowVersion == 0 ->
           send(h, ordered, WAITING, 0); writes++ }
    :: atomic { !pending[h] && writes < STEPS && known[h] > 0 && ordered > order[h] && ordered > refused[h] ->
           if
#ifndef WITHOUT_REFUSING
           :: !isFinal(stage[h]) -> send(h, order[h], stage[h], ordered)
           :: isFinal(stage[h]) -> send(h, ordered, WAITING, 0)
#else
           :: true -> send(h, ordered, WAITING, 0)
#endif
           fi;
           writes++ }
    :: atomic { !pending[h] && writes < STEPS && known[h] > 0 && !isFinal(stage[h]) -> advance(h) }
    /* Bad answers. */
    :: atomic { known[h] > 0 && (stage[h] == CANARY || stage[h] == FULL) && !hasSeenBad[h] ->
           hasSeenBad[h] = true; isStopped[h] = true }
    /* Knowledge of the row, by the store or the other host. */
    :: atomic { rowVersion > 0 -> adopt(h, rowVersion, rowOrder, rowStage, rowRefused) }
    :: atomic { known[1 - h] > 0 -> adopt(h, known[1 - h], order[1 - h], stage[1 - h], refused[1 - h]) }
    /* The host starts again; what it has sent may still take effect. */
    :: atomic { known[h] > 0 -> known[h] = 0; order[h] = 0; stage[h] = WAITING; refused[h] = 0; hasSeenBad[h] = false;
           isStopped[h] = false }
    /* A request to the new version. */
    :: atomic { known[h] > 0 && !isStopped[h] && (stage[h] == CANARY || stage[h] == FULL) ->
           assert(!hasSeenBad[h]) }
    od
}

active proctype store()
{
    do
    :: atomic { pending[0] -> takeEffect(0) }
    :: atomic { pending[1] -> takeEffect(1) }
    :: atomic { ordered < ORDERS -> ordered++ }
    od
}

init { atomic { run host(0); run host(1) } }
