lead m1
deliver Prepare m1->m0
deliver Promise m0->m1
deliver Prepare m1->m2
deliver Fetch m2->m1
give up Promise m2->m1
