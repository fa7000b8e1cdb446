lead m1
time
deliver Prepare m1->m2
deliver Promise m2->m1
deliver Fetch m2->m1
deliver FetchReply m1->m2
